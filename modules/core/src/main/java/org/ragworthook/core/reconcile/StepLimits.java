package org.ragworthook.core.reconcile;

import org.ragworthook.core.contract.WeightStore;

/**
 * How much may change at once. Each upstream carries out one step at a time.
 *
 * @param stepsPerFailureDomain steps under way in one failure domain
 * @param concurrentLoads loads under way
 * @param loadsPerMinute loads begun in a minute
 * @param concurrentRollOuts upstreams of one model whose version is replaced at once
 * @param modelsPerUpstream models that an upstream has room for
 * @param rebalanceThreshold replicas by which failure domains may differ, and by which
 * replicas may exceed demand, before one is moved
 */
public record StepLimits(int stepsPerFailureDomain, int concurrentLoads, int loadsPerMinute, int concurrentRollOuts,
		int modelsPerUpstream, int rebalanceThreshold) {

	private static final int PER_FAILURE_DOMAIN = 16;

	private static final int MODELS_PER_UPSTREAM = 2;

	// While demand wavers by a replica, 2 makes fewer than half the loads that 1 does and
	// leaves no more demand unmet; docs/MEASUREMENTS.md, "Control", has the figures.
	private static final int THRESHOLD = 2;

	/**
	 * Returns the limits for a weight store.
	 * @param weightStore what the store bears
	 * @return limits with a threshold of two replicas
	 */
	public static StepLimits of(WeightStore weightStore) {
		return new StepLimits(PER_FAILURE_DOMAIN, weightStore.concurrentLoads(), weightStore.loadsPerMinute(), 1,
				MODELS_PER_UPSTREAM, THRESHOLD);
	}

	/**
	 * Returns these limits with another threshold.
	 * @param replicas the threshold
	 * @return the new limits
	 */
	public StepLimits withRebalanceThreshold(int replicas) {
		return new StepLimits(this.stepsPerFailureDomain, this.concurrentLoads, this.loadsPerMinute,
				this.concurrentRollOuts, this.modelsPerUpstream, replicas);
	}

}
