/**
 * Tests of leases and of their spread over the entries.
 */
package org.ragworthook.core.lease;
