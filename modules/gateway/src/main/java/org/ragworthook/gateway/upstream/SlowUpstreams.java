package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which upstreams are too slow to be used for online requests: those that send
 * the first event after the latency target even at a free slot. A caller sent there would
 * be late for certain, while a slot elsewhere becomes free sooner.
 * <p>
 * If the target is stricter than what most upstreams reach, for example while all of them
 * are slow, taking them out of use would only lose capacity. At most a third of a fleet
 * is therefore taken out, the slowest ones.
 */
final class SlowUpstreams {

	/** One of this many upstreams may be taken out of use. */
	private static final int FLEET_PER_SLOW = 3;

	private SlowUpstreams() {
	}

	/**
	 * Returns the upstreams that are too slow.
	 * @param profiles the profiles of all upstreams of a service
	 * @param latencyTarget the callers' target for the time to the first event
	 * @return the slow upstreams, at most a third of all
	 */
	static Set<TrackedUpstream> among(Map<TrackedUpstream, SpeedProfile> profiles, Duration latencyTarget) {
		Collection<TrackedUpstream> slow = profiles.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().firstEventMillis() > latencyTarget.toMillis())
			.sorted(Comparator.comparingDouble((entry) -> -entry.getValue().firstEventMillis()))
			.limit(profiles.size() / FLEET_PER_SLOW)
			.map(Map.Entry::getKey)
			.toList();
		return new HashSet<>(slow);
	}

}
