package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that an upstream can take at a cost which rises evenly from one to the next.
 *
 * @param upstream the upstream
 * @param cost the cost of the first request
 * @param costPerRequest by how much each further request costs more; above 0
 * @param requests the number of requests; infinite for the last segment of an upstream
 */
record CostSegment(TrackedUpstream upstream, double cost, double costPerRequest, double requests) {

	/**
	 * Returns the cost that the next request has at every upstream in use after requests
	 * have been distributed over the segments, lowest cost first.
	 * @param segments the segments, of which at least one is infinite
	 * @param requests the number of requests, above 0
	 * @return the cost, above that of the lowest segment
	 */
	static double level(List<CostSegment> segments, double requests) {
		List<Bound> bounds = new ArrayList<>();
		for (CostSegment segment : segments) {
			bounds.add(new Bound(segment.cost, 1 / segment.costPerRequest));
			if (segment.requests < Double.POSITIVE_INFINITY) {
				bounds.add(new Bound(segment.cost + segment.requests * segment.costPerRequest,
						-1 / segment.costPerRequest));
			}
		}
		bounds.sort(Comparator.comparingDouble(Bound::cost));
		double remaining = requests;
		double level = bounds.get(0).cost;
		double requestsPerCost = 0;
		for (Bound bound : bounds) {
			double received = requestsPerCost * (bound.cost - level);
			if (remaining <= received) {
				break;
			}
			remaining -= received;
			level = bound.cost;
			requestsPerCost += bound.requestsPerCost;
		}
		return level + remaining / requestsPerCost;
	}

	/**
	 * Returns how many of the distributed requests this segment receives.
	 * @param level the cost up to which segments are filled
	 * @return the number of requests
	 */
	double share(double level) {
		return Math.min(this.requests, Math.max(0, level - this.cost) / this.costPerRequest);
	}

	/** A cost at which a segment begins or ends. */
	private record Bound(double cost, double requestsPerCost) {
	}

}
