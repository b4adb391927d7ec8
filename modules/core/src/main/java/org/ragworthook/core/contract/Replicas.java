package org.ragworthook.core.contract;

/**
 * The bounds on the number of upstreams that load a model, and their spread over failure
 * domains.
 *
 * @param min the minimum number of replicas, which the reconciler restores first
 * @param max the maximum number of replicas that demand may scale the model up to
 * @param failureDomains the number of failure domains over which the minimum is spread
 */
public record Replicas(int min, int max, int failureDomains) {

	/**
	 * Checks the bounds.
	 * @throws IllegalArgumentException if a bound is negative or {@code max} is below
	 * {@code min}
	 */
	public Replicas {
		if (min < 0 || max < min || failureDomains < 0) {
			throw new IllegalArgumentException(
					"invalid replicas: min " + min + ", max " + max + ", failureDomains " + failureDomains);
		}
	}

}
