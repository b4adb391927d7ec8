/**
 * Tests of entries and sidecars as whole processes, against the project's stand-ins.
 */
package org.ragworthook.daemon.whole;
