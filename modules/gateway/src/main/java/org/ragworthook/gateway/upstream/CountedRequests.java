package org.ragworthook.gateway.upstream;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The cost by the number of requests that an upstream has, for upstreams of about the
 * same speed.
 *
 * @param failureDomain the failure domain of the process or entry that places requests
 */
record CountedRequests(String failureDomain) implements PlacementCost {

	/** Cost of one request; a difference of one request outweighs the failure domain. */
	private static final int REQUEST_COST = 4;

	private static final int OTHER_DOMAIN_PENALTY = 3;

	private static final int AVOIDED_PENALTY = 1_000;

	CountedRequests {
		Objects.requireNonNull(failureDomain, "failureDomain is null");
	}

	@Override
	public List<CostSegment> segments(List<TrackedUpstream> options, Map<TrackedUpstream, Integer> affinityWeights,
			double unreported, long nowNanos) {
		return options.stream()
			.map((upstream) -> new CostSegment(upstream,
					cost(upstream, nowNanos) - affinityWeights.getOrDefault(upstream, 0), REQUEST_COST,
					Double.POSITIVE_INFINITY))
			.toList();
	}

	@Override
	public double distributed(double unreported) {
		return unreported;
	}

	private int cost(TrackedUpstream upstream, long nowNanos) {
		int slots = upstream.slots();
		int load = upstream.load();
		int cost = REQUEST_COST * ((load < slots) ? load : Math.max(slots, upstream.onlineLoad() + slots / 2));
		if (!upstream.descriptor().failureDomain().equals(this.failureDomain)) {
			cost += OTHER_DOMAIN_PENALTY;
		}
		return upstream.avoided(nowNanos) ? cost + AVOIDED_PENALTY : cost;
	}

}
