package org.ragworthook.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * Shares the items sent among accounts in proportion to their weights, by stride
 * scheduling: each item sent raises the pass of its account by the inverse of the
 * account's weight.
 */
final class StrideScheduler {

	private final Map<String, Double> passes = new HashMap<>();

	private final ToIntFunction<String> weights;

	StrideScheduler(ToIntFunction<String> weights) {
		this.weights = Objects.requireNonNull(weights, "weights is null");
	}

	/**
	 * Removes accounts without jobs. A new account starts at the lowest pass of the
	 * others, so that it gets no credit for the time in which it had no jobs.
	 * @param accounts the accounts that have jobs
	 */
	void retain(Collection<String> accounts) {
		this.passes.keySet().retainAll(accounts);
		double first = this.passes.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
		accounts.forEach((account) -> this.passes.putIfAbsent(account, first));
	}

	/**
	 * Returns the pass of an account. The account with the lowest pass is served next.
	 * @param account the account
	 * @return the pass
	 */
	double pass(String account) {
		return this.passes.getOrDefault(account, 0.0);
	}

	/**
	 * Called when an item of an account was sent.
	 * @param account the account
	 * @param urgency the urgency of the job, a factor of the account's weight
	 */
	void sent(String account, double urgency) {
		double stride = 1 / (Math.max(1, this.weights.applyAsInt(account)) * urgency);
		this.passes.merge(account, stride, Double::sum);
	}

}
