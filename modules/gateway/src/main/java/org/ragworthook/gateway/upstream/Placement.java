package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
 * probably placed since their reports are distributed over the upstreams so that the
 * least loaded ones end at the same load, and each upstream is chosen with a probability
 * proportional to what it receives. With a single entry, or few requests, this is the
 * least loaded upstream again. In a simulation of 17 entries with a quarter of the slots
 * free, 87 of 1,000 requests queued for too long without randomisation and 17 with it.
 */
public final class Placement {

	/**
	 * Least number of requests that are distributed. Costs differ by a quarter of a
	 * request at least, so that only the upstreams of the lowest cost receive some.
	 */
	private static final double MIN_REQUESTS = 0.01 / 4;

	private final PlacementCost countedRequests;

	private final PlacementCost expectedTime;

	private final Optional<SpeedProfiles> speedProfiles;

	private final Ticker ticker;

	private final RandomGenerator random;

	private Placement(String failureDomain, Optional<SpeedProfiles> speedProfiles, Ticker ticker,
			RandomGenerator random) {
		this.countedRequests = new CountedRequests(failureDomain);
		this.expectedTime = new ExpectedTime(failureDomain);
		this.speedProfiles = speedProfiles;
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.random = Objects.requireNonNull(random, "random is null");
	}

	/**
	 * Returns a placement by count.
	 * @param failureDomain the failure domain of this process
	 * @param ticker the monotonic clock
	 * @param random makes the random choice among upstreams
	 * @return a new placement
	 */
	public static Placement of(String failureDomain, Ticker ticker, RandomGenerator random) {
		return new Placement(failureDomain, Optional.empty(), ticker, random);
	}

	/**
	 * Returns a placement by expected time for services whose upstreams differ in speed,
	 * and by count for the others.
	 * @param failureDomain the failure domain of this process
	 * @param speedProfiles the speeds of upstreams
	 * @param ticker the monotonic clock
	 * @param random makes the random choice among upstreams
	 * @return a new placement
	 */
	public static Placement of(String failureDomain, SpeedProfiles speedProfiles, Ticker ticker,
			RandomGenerator random) {
		return new Placement(failureDomain, Optional.of(speedProfiles), ticker, random);
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
	 * Chooses an upstream by load and prefix affinity. A request without excluded
	 * upstreams may serve as the probe of a slow one.
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
		return choose(candidates, excluded, capacityCheck, prefixAffinity, unreported, excluded.isEmpty());
	}

	/**
	 * Chooses an upstream by load and prefix affinity for a request that was attempted
	 * before or resumes a stream. Its caller has waited already, so it does not serve as
	 * a probe.
	 * @param candidates the upstreams of the service
	 * @param excluded upstreams that must not be chosen
	 * @param capacityCheck accepts the upstreams that have capacity for the request
	 * @param prefixAffinity the upstreams that are likely to have the prompt's prefix
	 * cached
	 * @param unreported estimated number of requests that other processes have placed
	 * since their reports, at least 0
	 * @return the choice, or empty if no upstream has capacity
	 */
	public Optional<TrackedUpstream> chooseWithoutProbe(List<TrackedUpstream> candidates,
			Collection<TrackedUpstream> excluded, CapacityCheck capacityCheck, PrefixAffinity prefixAffinity,
			double unreported) {
		return choose(candidates, excluded, capacityCheck, prefixAffinity, unreported, false);
	}

	private Optional<TrackedUpstream> choose(List<TrackedUpstream> candidates, Collection<TrackedUpstream> excluded,
			CapacityCheck capacityCheck, PrefixAffinity prefixAffinity, double unreported, boolean mayProbe) {
		boolean timed = timed(candidates);
		long now = this.ticker.nanos();
		List<TrackedUpstream> options = new ArrayList<>();
		List<TrackedUpstream> outOfUse = new ArrayList<>();
		Optional<TrackedUpstream> probed = Optional.empty();
		for (TrackedUpstream candidate : candidates) {
			if (capacityCheck.hasCapacity(candidate) && !excluded.contains(candidate)) {
				(candidate.inUse() ? options : outOfUse).add(candidate);
				if (mayProbe && candidate.probeDue(now) && !candidate.avoided(now)
						&& SlotSharing.hasFreeSlot(candidate)) {
					probed = Optional.of(candidate);
				}
			}
		}
		if (options.stream().allMatch((option) -> option.avoided(now))) {
			options.addAll(outOfUse);
		}
		Optional<TrackedUpstream> chosen = probed
			.or(() -> choose(options, timed, affinityWeights(candidates, prefixAffinity), unreported));
		chosen.ifPresent((upstream) -> this.speedProfiles.ifPresent((profiles) -> profiles.recordPlacement(upstream)));
		return chosen;
	}

	/**
	 * Chooses an upstream for a batch item. Upstreams that are too slow for online
	 * requests can run it.
	 * @param candidates the upstreams of the service
	 * @param capacityCheck accepts the upstreams that have capacity for the item
	 * @return the choice, or empty if no upstream has capacity
	 */
	public Optional<TrackedUpstream> chooseForItem(List<TrackedUpstream> candidates, CapacityCheck capacityCheck) {
		boolean timed = timed(candidates);
		return choose(candidates.stream().filter(capacityCheck::hasCapacity).toList(), timed, Map.of(), 0);
	}

	/**
	 * Renews the speed profiles of a service. A process that asks a dispatcher for slots
	 * uses them without choosing an upstream itself.
	 * @param serving the upstreams of the service
	 */
	public void refreshSpeeds(List<TrackedUpstream> serving) {
		timed(serving);
	}

	private boolean timed(List<TrackedUpstream> candidates) {
		return !candidates.isEmpty() && this.speedProfiles
			.map((profiles) -> profiles.refresh(candidates.get(0).descriptor().service(), candidates))
			.orElse(false);
	}

	/**
	 * Returns by how much upstreams are preferred for having the prompt's prefix cached.
	 * Applies only while the upstream has a free slot, or one that a batch item yields:
	 * to wait for another request to end takes longer than to recompute the prefix
	 * elsewhere.
	 * @param candidates the upstreams
	 * @param prefixAffinity the affinity of the prompt
	 * @return the weights, which reduce the cost
	 */
	private static Map<TrackedUpstream, Integer> affinityWeights(List<TrackedUpstream> candidates,
			PrefixAffinity prefixAffinity) {
		Map<TrackedUpstream, Integer> weights = new HashMap<>(prefixAffinity.weights(candidates));
		weights.keySet().removeIf((upstream) -> !SlotSharing.hasFreeOnlineSlot(upstream));
		return weights;
	}

	private Optional<TrackedUpstream> choose(List<TrackedUpstream> options, boolean timed,
			Map<TrackedUpstream, Integer> affinityWeights, double unreported) {
		if (options.isEmpty()) {
			return Optional.empty();
		}
		PlacementCost cost = timed ? this.expectedTime : this.countedRequests;
		List<CostSegment> segments = cost.segments(options, affinityWeights, unreported, this.ticker.nanos());
		double level = CostSegment.level(segments, Math.max(cost.distributed(unreported), MIN_REQUESTS));
		double draw = this.random.nextDouble() * segments.stream().mapToDouble((segment) -> segment.share(level)).sum();
		CostSegment chosen = segments.get(0);
		for (CostSegment segment : segments) {
			if (segment.share(level) > 0) {
				chosen = segment;
				draw -= segment.share(level);
				if (draw < 0) {
					break;
				}
			}
		}
		return Optional.of(chosen.upstream());
	}

	/**
	 * Adds the expected times of a request that is about to be sent to the fields of a
	 * log line.
	 * @param upstream the chosen upstream, whose load does not include the request yet
	 * @param pairs alternating keys and values
	 * @return the pairs, followed by {@code expected_first_ms} and
	 * {@code expected_last_ms} while requests of the service are placed by time
	 */
	public static Object[] logFields(TrackedUpstream upstream, Object... pairs) {
		return ExpectedTime.logFields(upstream, pairs);
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
