/**
 * Tests of leases and their distribution over the entries.
 */
package org.ragworthook.core.lease;
