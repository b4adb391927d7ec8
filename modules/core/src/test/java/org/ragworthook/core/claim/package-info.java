/**
 * Tests of claims on idempotency keys.
 */
package org.ragworthook.core.claim;
