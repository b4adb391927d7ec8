/**
 * Fakes of what stands around the daemon, driven step by step by the tests.
 */
package org.ragworthook.daemon.fake;
