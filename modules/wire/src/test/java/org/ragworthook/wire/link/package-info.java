/**
 * Tests of links between processes.
 */
package org.ragworthook.wire.link;
