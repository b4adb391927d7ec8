/**
 * Decides what follows an attempt at a request: another one, a resumption, or a final
 * answer that is true. Budgets keep retries from making an outage worse.
 */
package org.ragworthook.core.retry;
