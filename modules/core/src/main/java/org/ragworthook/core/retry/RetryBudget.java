package org.ragworthook.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the retries of a service to a fraction of its requests.
 * <p>
 * In an outage every request fails, and retrying each would multiply the load while the
 * upstreams are overloaded, so that they cannot recover until callers give up. Every
 * first attempt deposits a fraction of a retry, every retry withdraws a whole one, and
 * the balance is capped.
 */
public final class RetryBudget {

	private static final long UNITS_PER_RETRY = 1_000;

	private final long depositUnits;

	private final long maxUnits;

	private final AtomicLong balanceUnits;

	private RetryBudget(double retryRatio, int maxBalance) {
		this.depositUnits = (long) (retryRatio * UNITS_PER_RETRY);
		this.maxUnits = maxBalance * UNITS_PER_RETRY;
		this.balanceUnits = new AtomicLong(this.maxUnits);
	}

	/**
	 * Returns a full budget.
	 * @param retryRatio the number of retries deposited per request, below one
	 * @param maxBalance the maximum number of retries saved up
	 * @return the budget
	 */
	public static RetryBudget of(double retryRatio, int maxBalance) {
		return new RetryBudget(retryRatio, maxBalance);
	}

	/**
	 * Returns a budget with default values: 8 retries per 100 requests, at most 20 saved
	 * up.
	 * @return the budget
	 */
	public static RetryBudget defaults() {
		return of(0.08, 20);
	}

	/**
	 * Deposits a fraction of a retry. Called for the first attempt at each request.
	 */
	public void deposit() {
		long current = this.balanceUnits.get();
		while (current < this.maxUnits
				&& !this.balanceUnits.compareAndSet(current, Math.min(this.maxUnits, current + this.depositUnits))) {
			current = this.balanceUnits.get();
		}
	}

	/**
	 * Withdraws one retry if the balance suffices.
	 * @return whether the retry may be made
	 */
	public boolean tryWithdraw() {
		long current = this.balanceUnits.get();
		while (current >= UNITS_PER_RETRY) {
			if (this.balanceUnits.compareAndSet(current, current - UNITS_PER_RETRY)) {
				return true;
			}
			current = this.balanceUnits.get();
		}
		return false;
	}

}
