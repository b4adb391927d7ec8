/**
 * Admission control: scheduling with priorities in front of one engine, rate and
 * concurrency limits per account, and the fair queues in front of many engines. Each
 * class is a plain state machine that takes events and returns actions; the time is
 * passed in as a {@link org.ragworthook.core.time.Ticker}.
 */
package org.ragworthook.core.admission;
