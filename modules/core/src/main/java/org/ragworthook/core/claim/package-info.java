/**
 * Claims on the idempotency keys of requests that must not run twice. A claim is recorded
 * at the platform before the request is passed on, so that the same request, resent to
 * any entry, is not run again.
 */
package org.ragworthook.core.claim;
