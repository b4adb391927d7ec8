package org.ragworthook.gateway.upstream;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;

/**
 * Chooses the upstream for a request: the one with the least load, counted over all
 * processes; among equals one of the own failure domain, then one at random.
 * <p>
 * Engines admit in order of arrival, so a request that is sent to a full one waits there
 * behind others although a slot may be free elsewhere. Counting only what one process
 * sent itself, four entries left the busiest engine at 1.7 times the mean.
 */
public final class Placement {

	/** A whole request of difference in load outweighs the failure domain. */
	private static final int REQUEST_COST = 4;

	private static final int OTHER_DOMAIN_COST = 3;

	private static final int AVOIDED_COST = 1_000;

	private final String failureDomain;

	private final Ticker ticker;

	private final RandomGenerator random;

	private Placement(String failureDomain, Ticker ticker, RandomGenerator random) {
		this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.random = Objects.requireNonNull(random, "random is null");
	}

	/**
	 * Returns a placement.
	 * @param failureDomain the failure domain of this process
	 * @param ticker the time
	 * @param random breaks ties
	 * @return the placement
	 */
	public static Placement of(String failureDomain, Ticker ticker, RandomGenerator random) {
		return new Placement(failureDomain, ticker, random);
	}

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams of the service
	 * @param except upstreams that are not to be chosen
	 * @param room which upstreams have room for the request
	 * @return the choice, or empty if none has room
	 */
	public Optional<TrackedUpstream> choose(List<TrackedUpstream> candidates, Collection<TrackedUpstream> except,
			Room room) {
		long now = this.ticker.nanos();
		TrackedUpstream best = null;
		int bestCost = Integer.MAX_VALUE;
		int equals = 0;
		for (TrackedUpstream candidate : candidates) {
			if (!room.has(candidate) || except.contains(candidate)) {
				continue;
			}
			int cost = cost(candidate, now);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
				equals = 1;
			}
			else if (cost == bestCost && this.random.nextInt(++equals) == 0) {
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	private int cost(TrackedUpstream candidate, long now) {
		int slots = candidate.entry().slots();
		int load = candidate.load();
		int cost = REQUEST_COST * ((load < slots) ? load : Math.max(slots, candidate.onlineLoad() + slots / 2));
		if (!candidate.entry().failureDomain().equals(this.failureDomain)) {
			cost += OTHER_DOMAIN_COST;
		}
		return candidate.avoided(now) ? cost + AVOIDED_COST : cost;
	}

	/**
	 * Tells which upstreams have room.
	 */
	@FunctionalInterface
	public interface Room {

		/**
		 * Tells whether an upstream has room for one more request.
		 * @param upstream the upstream
		 * @return whether it has
		 */
		boolean has(TrackedUpstream upstream);

	}

}
