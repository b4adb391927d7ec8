/**
 * Decides what to do after an attempt at a request: retry it, resume its output on
 * another upstream, or give the caller a final answer that states correctly whether the
 * request may have run. Retry budgets keep retries from amplifying an outage.
 */
package org.ragworthook.core.retry;
