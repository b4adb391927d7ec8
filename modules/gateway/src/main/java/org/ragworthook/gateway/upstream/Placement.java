package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;

/**
 * Chooses the upstream for a request: the one with the least load over all processes;
 * among equals one in the own failure domain, then one at random.
 * <p>
 * Upstreams run requests in order of arrival, so a request that is sent to a full one
 * queues there although a slot may be free elsewhere. Counting only the requests of one
 * process is not enough: with four entries, the busiest upstream then had 1.7 times the
 * mean load.
 * <p>
 * The load of other processes is known up to 0.1 s late. If many entries all chose the
 * least loaded upstream, they would choose the same one until they receive each other's
 * reports. The choice is therefore randomised: the requests that the other entries have
 * probably placed since their reports are distributed over the upstreams, lowest load
 * first, as if water were poured over them, and each upstream is chosen with a
 * probability proportional to what it receives. With a single entry, or few requests,
 * this is the least loaded upstream again. In a simulation of 17 entries with a quarter
 * of the slots free, 87 of 1,000 requests queued for too long without randomisation and
 * 17 with it.
 */
public final class Placement {

	/** Cost of one request; a difference of one request outweighs the failure domain. */
	private static final int REQUEST_COST = 4;

	private static final int OTHER_DOMAIN_PENALTY = 3;

	private static final int AVOIDED_PENALTY = 1_000;

	/**
	 * Less than any difference in cost, so that only the least loaded upstreams are
	 * filled.
	 */
	private static final double MIN_FILL_COST = 0.01;

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
	 * @param ticker the monotonic clock
	 * @param random makes the random choice among upstreams
	 * @return a new placement
	 */
	public static Placement of(String failureDomain, Ticker ticker, RandomGenerator random) {
		return new Placement(failureDomain, ticker, random);
	}

	/**
	 * Chooses the upstream with the least load.
	 * @param candidates the upstreams of the service
	 * @param excluded upstreams that must not be chosen
	 * @param capacityCheck accepts the upstreams that have capacity for the request
	 * @return the choice, or empty if no upstream has capacity
	 */
	public Optional<TrackedUpstream> choose(List<TrackedUpstream> candidates, Collection<TrackedUpstream> excluded,
			CapacityCheck capacityCheck) {
		return choose(candidates, excluded, capacityCheck, PrefixAffinity.none(), 0);
	}

	/**
	 * Chooses an upstream by load and prefix affinity.
	 * @param candidates the upstreams of the service
	 * @param excluded upstreams that must not be chosen
	 * @param capacityCheck accepts the upstreams that have capacity for the request
	 * @param prefixAffinity the upstreams that are likely to have the prompt's prefix
	 * cached
	 * @param unreported estimated number of requests that other processes have placed
	 * since their reports, at least 0
	 * @return the choice, or empty if no upstream has capacity
	 */
	public Optional<TrackedUpstream> choose(List<TrackedUpstream> candidates, Collection<TrackedUpstream> excluded,
			CapacityCheck capacityCheck, PrefixAffinity prefixAffinity, double unreported) {
		long now = this.ticker.nanos();
		Map<TrackedUpstream, Integer> affinityWeights = prefixAffinity.weights(candidates);
		List<Choice> choices = new ArrayList<>();
		for (TrackedUpstream candidate : candidates) {
			if (capacityCheck.hasCapacity(candidate) && !excluded.contains(candidate)) {
				choices.add(new Choice(candidate, cost(candidate, now) - affinityWeight(candidate, affinityWeights)));
			}
		}
		if (choices.isEmpty()) {
			return Optional.empty();
		}
		double fillLevel = fillLevel(choices, unreported * REQUEST_COST);
		double draw = this.random.nextDouble()
				* choices.stream().mapToDouble((choice) -> choice.headroom(fillLevel)).sum();
		Choice chosen = choices.get(0);
		for (Choice choice : choices) {
			if (choice.headroom(fillLevel) > 0) {
				chosen = choice;
				draw -= choice.headroom(fillLevel);
				if (draw < 0) {
					break;
				}
			}
		}
		return Optional.of(chosen.upstream());
	}

	/**
	 * Returns the level to which upstreams are filled when additional requests are
	 * distributed over them, lowest cost first.
	 * @param choices the upstreams
	 * @param addedCost the cost of the additional requests
	 * @return the level, above the lowest cost
	 */
	private static double fillLevel(List<Choice> choices, double addedCost) {
		int[] costs = choices.stream().mapToInt(Choice::cost).sorted().toArray();
		double remaining = Math.max(addedCost, MIN_FILL_COST);
		int filledCount = 1;
		while (filledCount < costs.length
				&& remaining > (double) filledCount * (costs[filledCount] - costs[filledCount - 1])) {
			remaining -= (double) filledCount * (costs[filledCount] - costs[filledCount - 1]);
			filledCount++;
		}
		return costs[filledCount - 1] + remaining / filledCount;
	}

	/**
	 * Returns by how much an upstream is preferred for having the prompt's prefix cached.
	 * Applies only while the upstream has a free slot, or one that a batch item yields:
	 * to wait for another request to end takes longer than to recompute the prefix
	 * elsewhere.
	 * @param candidate the upstream
	 * @param affinityWeights the weights of the upstreams with affinity
	 * @return the weight, which reduces the cost
	 */
	private static int affinityWeight(TrackedUpstream candidate, Map<TrackedUpstream, Integer> affinityWeights) {
		return SlotSharing.hasFreeOnlineSlot(candidate) ? affinityWeights.getOrDefault(candidate, 0) : 0;
	}

	private int cost(TrackedUpstream candidate, long now) {
		int slots = candidate.descriptor().slots();
		int load = candidate.load();
		int cost = REQUEST_COST * ((load < slots) ? load : Math.max(slots, candidate.onlineLoad() + slots / 2));
		if (!candidate.descriptor().failureDomain().equals(this.failureDomain)) {
			cost += OTHER_DOMAIN_PENALTY;
		}
		return candidate.avoided(now) ? cost + AVOIDED_PENALTY : cost;
	}

	/**
	 * An upstream that can be chosen.
	 *
	 * @param upstream the upstream
	 * @param cost its cost; the lowest is preferred
	 */
	private record Choice(TrackedUpstream upstream, int cost) {

		double headroom(double fillLevel) {
			return Math.max(0, fillLevel - this.cost);
		}

	}

	/** Decides which upstreams have capacity for a request. */
	@FunctionalInterface
	public interface CapacityCheck {

		/**
		 * Returns whether an upstream has capacity for one more request.
		 * @param upstream the upstream
		 * @return whether it has capacity
		 */
		boolean hasCapacity(TrackedUpstream upstream);

	}

}
