package org.ragworthook.core.contract;

/**
 * How many upstreams hold a model, and how they are spread.
 *
 * @param min the least number, which the reconciler restores first
 * @param max the most to which it may grow with demand
 * @param failureDomains over how many failure domains the least number is spread
 */
public record Replicas(int min, int max, int failureDomains) {

	/**
	 * Checks the bounds.
	 * @throws IllegalArgumentException if a bound is out of order
	 */
	public Replicas {
		if (min < 0 || max < min || failureDomains < 0) {
			throw new IllegalArgumentException(
					"replicas " + min + " to " + max + " over " + failureDomains + " are out of order");
		}
	}

}
