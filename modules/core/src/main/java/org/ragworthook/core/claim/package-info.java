/**
 * Claims on idempotency keys of requests that may run only once. A claim is recorded at
 * the platform before the request is passed on, so that the same request, sent again to
 * any entry, is not run a second time.
 */
package org.ragworthook.core.claim;
