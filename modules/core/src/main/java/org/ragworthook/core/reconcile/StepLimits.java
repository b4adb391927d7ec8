package org.ragworthook.core.reconcile;

import org.ragworthook.core.contract.WeightStore;

/**
 * Limits for concurrent changes. Each upstream executes one step at a time.
 *
 * @param stepsPerFailureDomain the maximum number of running steps in one failure domain
 * @param concurrentLoads the maximum number of running loads
 * @param loadsPerMinute the maximum number of loads started per minute
 * @param concurrentRollOuts the maximum number of upstreams per model whose version is
 * replaced at the same time
 * @param modelsPerUpstream the number of models that an upstream has room for
 * @param rebalanceThreshold the number of replicas by which failure domains may differ,
 * or by which replicas may exceed demand, before a replica is moved or unloaded
 */
public record StepLimits(int stepsPerFailureDomain, int concurrentLoads, int loadsPerMinute, int concurrentRollOuts,
		int modelsPerUpstream, int rebalanceThreshold) {

	private static final int STEPS_PER_FAILURE_DOMAIN = 16;

	private static final int MODELS_PER_UPSTREAM = 2;

	// When demand varies by one replica, a threshold of 2 causes fewer than half the
	// loads of a threshold of 1 and leaves no more demand unmet; the figures are in
	// docs/MEASUREMENTS.md, "Control".
	private static final int REBALANCE_THRESHOLD = 2;

	/**
	 * Returns the limits for a weight store.
	 * @param weightStore the load limits of the weight store
	 * @return limits with a rebalance threshold of two replicas
	 */
	public static StepLimits of(WeightStore weightStore) {
		return new StepLimits(STEPS_PER_FAILURE_DOMAIN, weightStore.concurrentLoads(), weightStore.loadsPerMinute(), 1,
				MODELS_PER_UPSTREAM, REBALANCE_THRESHOLD);
	}

	/**
	 * Returns a copy with another rebalance threshold.
	 * @param replicas the threshold, in replicas
	 * @return the copy
	 */
	public StepLimits withRebalanceThreshold(int replicas) {
		return new StepLimits(this.stepsPerFailureDomain, this.concurrentLoads, this.loadsPerMinute,
				this.concurrentRollOuts, this.modelsPerUpstream, replicas);
	}

}
