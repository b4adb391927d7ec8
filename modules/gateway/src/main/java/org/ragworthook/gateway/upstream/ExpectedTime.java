package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The cost by the time that a request is expected to take, for upstreams of uneven speed.
 * <p>
 * Counted by requests, a slow upstream is chosen as often as a fast one with as many
 * requests, and its callers are late. The cost is the expected time to the first and to
 * the last event at the load after the placement, in milliseconds. A request that waits
 * for a slot delays both.
 *
 * @param failureDomain the failure domain of the process or entry that places requests
 */
record ExpectedTime(String failureDomain) implements PlacementCost {

	/**
	 * Weight of the time to the first event. Callers expect it within some hundred
	 * milliseconds and the whole answer within some seconds, so a millisecond of delay
	 * costs 16 times as much of the first target as of the second.
	 */
	private static final double FIRST_EVENT_WEIGHT = 16;

	/** Share of the cost of a further request that another failure domain costs. */
	private static final double OTHER_DOMAIN_SHARE = 0.75;

	/** More than the cost of any upstream that is not avoided. */
	private static final double AVOIDED_PENALTY_MILLIS = 1e7;

	/**
	 * Least difference between two requests at an upstream; some upstreams run more
	 * requests at the same speed.
	 */
	private static final double MIN_COST_PER_REQUEST = 1;

	/**
	 * Cost of preempting a batch item, in runs of an online request. The item has to
	 * compute its tokens again, so a free slot is preferred to that of an item at an
	 * upstream which is up to about twice as fast.
	 */
	private static final double PREEMPTION_RUNS = 2;

	/**
	 * Variance of a load for each unreported placement. As many requests end as begin,
	 * and reports are up to twice as old as on average.
	 */
	private static final double LOAD_VARIANCE = 4;

	/**
	 * Requests that are distributed for each unreported placement. Reports that arrive
	 * 100 ms late are three times as old as the estimate assumes, and the fastest
	 * upstreams are the lowest in cost for all entries. With 4, 98 of 1,000 requests were
	 * late where entries chose alone at 90% of the capacity, and 71 with 8.
	 */
	private static final double SPREAD = 8;

	/** Segments by which the cost at one upstream is approximated, at most. */
	private static final int MAX_SEGMENTS = 8;

	/** Affinity weight of a prefix that takes as long to compute as one event. */
	private static final double WEIGHT_PER_EVENT = 4;

	ExpectedTime {
		Objects.requireNonNull(failureDomain, "failureDomain is null");
	}

	@Override
	public List<CostSegment> segments(List<TrackedUpstream> options, Map<TrackedUpstream, Integer> affinityWeights,
			double unreported, long nowNanos) {
		int longestPrefix = affinityWeights.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int allSlots = options.stream().mapToInt(TrackedUpstream::slots).sum();
		List<CostSegment> segments = new ArrayList<>();
		for (TrackedUpstream upstream : options) {
			int missingPrefix = longestPrefix - affinityWeights.getOrDefault(upstream, 0);
			double variance = LOAD_VARIANCE * unreported * upstream.slots() / allSlots;
			addSegments(upstream, fixedCost(upstream, missingPrefix, nowNanos), variance, segments);
		}
		return segments;
	}

	@Override
	public double distributed(double unreported) {
		return SPREAD * unreported;
	}

	private double fixedCost(TrackedUpstream upstream, int missingPrefix, long nowNanos) {
		SpeedProfile profile = upstream.speedProfile().orElseThrow();
		double cost = missingPrefix / WEIGHT_PER_EVENT * profile.gapMillis(1) * (1 + FIRST_EVENT_WEIGHT);
		if (!upstream.descriptor().failureDomain().equals(this.failureDomain)) {
			cost += OTHER_DOMAIN_SHARE * addedMillis(upstream, profile);
		}
		return upstream.avoided(nowNanos) ? cost + AVOIDED_PENALTY_MILLIS : cost;
	}

	/** Returns by how much a further request lengthens a run on average. */
	private static double addedMillis(TrackedUpstream upstream, SpeedProfile profile) {
		int slots = upstream.slots();
		return Math.max(MIN_COST_PER_REQUEST,
				(profile.runMillis(slots) - profile.runMillis(1)) / Math.max(1, slots - 1));
	}

	private static void addSegments(TrackedUpstream upstream, double fixedCost, double variance,
			List<CostSegment> segments) {
		SpeedProfile profile = upstream.speedProfile().orElseThrow();
		int slots = upstream.slots();
		int online = upstream.onlineLoad();
		int batch = Math.max(0, upstream.load() - online);
		int last = Math.max(slots, online) + 1;
		int step = Math.max(1, (last - online) / MAX_SEGMENTS);
		double cost = fixedCost + cost(upstream, profile, online, batch, variance);
		for (int load = online; load < last; load += step) {
			double next = fixedCost + cost(upstream, profile, load + step, batch, variance);
			double slope = Math.max(MIN_COST_PER_REQUEST, (next - cost) / step);
			segments
				.add(new CostSegment(upstream, cost, slope, (load + step < last) ? step : Double.POSITIVE_INFINITY));
			cost = Math.max(next, cost + slope * step);
		}
	}

	/**
	 * Returns the cost of a request.
	 * @param upstream the upstream
	 * @param profile its profile
	 * @param online the number of online requests before this one
	 * @param batch the number of batch items, which yield their slots to online requests
	 * @param variance the variance of the difference between the known and the present
	 * load
	 * @return the cost in milliseconds
	 */
	private static double cost(TrackedUpstream upstream, SpeedProfile profile, int online, int batch, double variance) {
		int slots = upstream.slots();
		int running = Math.min(slots, online + batch + 1);
		double beyondSlots = online + 1 - slots;
		double waiting = (beyondSlots + Math.sqrt(beyondSlots * beyondSlots + variance)) / 2;
		double wait = waiting * profile.slotIntervalMillis();
		boolean preempts = online < slots && online + batch >= slots;
		double preemption = preempts ? PREEMPTION_RUNS * profile.runMillis(slots) : 0;
		return FIRST_EVENT_WEIGHT * (wait + profile.firstEventMillis()) + wait + profile.runMillis(running)
				+ preemption;
	}

	/**
	 * Adds the expected times of a request that is about to be placed to the fields of a
	 * log line.
	 * @param upstream the chosen upstream, whose load does not include the request yet
	 * @param pairs alternating keys and values
	 * @return the pairs, followed by {@code expected_first_ms} and
	 * {@code expected_last_ms} if requests of the service are placed by time
	 */
	static Object[] logFields(TrackedUpstream upstream, Object... pairs) {
		Optional<SpeedProfile> profile = upstream.speedProfile();
		if (profile.isEmpty()) {
			return pairs;
		}
		int slots = upstream.slots();
		double wait = Math.max(0, upstream.onlineLoad() + 1 - slots) * profile.get().slotIntervalMillis();
		Object[] extended = Arrays.copyOf(pairs, pairs.length + 4);
		extended[pairs.length] = "expected_first_ms";
		extended[pairs.length + 1] = Math.round(wait + profile.get().firstEventMillis());
		extended[pairs.length + 2] = "expected_last_ms";
		extended[pairs.length + 3] = Math.round(wait + profile.get().runMillis(Math.min(slots, upstream.load() + 1)));
		return extended;
	}

}
