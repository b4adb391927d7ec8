package org.ragworthook.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the retries of a service to a share of its requests.
 * <p>
 * In an outage every request fails, and retrying each would multiply the load just when
 * the upstreams are weakest; one notices by upstreams that cannot recover until callers
 * give up. Every first attempt earns a part of a retry, every retry spends a whole one,
 * and only a few can be saved up.
 */
public final class RetryBudget {

	private static final long WHOLE = 1_000;

	private final long earned;

	private final long most;

	private final AtomicLong saved;

	private RetryBudget(double share, int saved) {
		this.earned = (long) (share * WHOLE);
		this.most = saved * WHOLE;
		this.saved = new AtomicLong(this.most);
	}

	/**
	 * Returns a full budget.
	 * @param share retries that one request earns, below one
	 * @param saved how many retries can be saved up
	 * @return the budget
	 */
	public static RetryBudget of(double share, int saved) {
		return new RetryBudget(share, saved);
	}

	/**
	 * Returns the usual budget: eight retries in a hundred requests, twenty saved up.
	 * @return the budget
	 */
	public static RetryBudget defaults() {
		return of(0.08, 20);
	}

	/**
	 * Learns of a first attempt.
	 */
	public void deposit() {
		long current = this.saved.get();
		while (current < this.most && !this.saved.compareAndSet(current, Math.min(this.most, current + this.earned))) {
			current = this.saved.get();
		}
	}

	/**
	 * Spends a retry if there is one.
	 * @return whether the retry may be made
	 */
	public boolean tryWithdraw() {
		long current = this.saved.get();
		while (current >= WHOLE) {
			if (this.saved.compareAndSet(current, current - WHOLE)) {
				return true;
			}
			current = this.saved.get();
		}
		return false;
	}

}
