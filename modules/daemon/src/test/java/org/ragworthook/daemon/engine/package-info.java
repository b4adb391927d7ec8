/**
 * Tests of calls to upstreams.
 */
package org.ragworthook.daemon.engine;
