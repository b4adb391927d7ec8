package org.ragworthook.gateway.upstream;

import java.util.List;
import java.util.Map;

/**
 * What it costs callers if the next requests are placed at an upstream. {@link Placement}
 * prefers the lowest cost.
 */
interface PlacementCost {

	/**
	 * Returns the cost of further requests at each upstream.
	 * @param options the upstreams that can be chosen
	 * @param affinityWeights by how much upstreams are preferred for having the prompt's
	 * prefix cached, in quarters of a running request
	 * @param unreported estimated number of requests that other processes have placed
	 * since their reports
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return the segments in the order of the upstreams; the last one of each upstream
	 * is infinite
	 */
	List<CostSegment> segments(List<TrackedUpstream> options, Map<TrackedUpstream, Integer> affinityWeights,
			double unreported, long nowNanos);

	/**
	 * Returns how many requests are distributed over the upstreams for the random choice.
	 * @param unreported estimated number of requests that other processes have placed
	 * since their reports
	 * @return the number; the more, the more evenly the choices are spread
	 */
	double distributed(double unreported);

}
