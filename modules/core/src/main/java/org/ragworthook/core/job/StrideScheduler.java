package org.ragworthook.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * Shares items out over accounts by their weights: stride scheduling, in which each item
 * moves its account back by the inverse of its weight.
 */
final class StrideScheduler {

	private final Map<String, Double> passes = new HashMap<>();

	private final ToIntFunction<String> weights;

	StrideScheduler(ToIntFunction<String> weights) {
		this.weights = Objects.requireNonNull(weights, "weights is null");
	}

	/**
	 * Keeps only accounts with jobs. One that comes anew starts level with the first, so
	 * that it cannot claim the time in which it had no jobs.
	 * @param accounts the accounts that have jobs
	 */
	void keep(Collection<String> accounts) {
		this.passes.keySet().retainAll(accounts);
		double first = this.passes.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
		accounts.forEach((account) -> this.passes.putIfAbsent(account, first));
	}

	/**
	 * Returns how far an account has come.
	 * @param account the account
	 * @return its pass; the lowest is next
	 */
	double pass(String account) {
		return this.passes.getOrDefault(account, 0.0);
	}

	/**
	 * Notes that an item of an account was sent.
	 * @param account the account
	 * @param urgency the factor of the job's share
	 */
	void sent(String account, double urgency) {
		double stride = 1 / (Math.max(1, this.weights.applyAsInt(account)) * urgency);
		this.passes.merge(account, stride, Double::sum);
	}

}
