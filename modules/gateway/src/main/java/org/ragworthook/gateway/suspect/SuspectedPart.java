package org.ragworthook.gateway.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

/**
 * A part of prompts, and the upstreams that were lost while they ran requests with it.
 * Used on the event loop.
 */
final class SuspectedPart {

	/** More crashes than any threshold needs. */
	private static final int MAX_CRASHES = 16;

	private Set<Long> companions;

	/** Whether there may be companions that are not known. */
	private boolean companionsOmitted;

	private final Map<Integer, Long> crashNanos = new LinkedHashMap<>();

	private int position;

	/**
	 * Creates a part without crashes.
	 * @param companions the parts of the first lost request that had no complete
	 * response; shared by these parts, so it must not change
	 * @param companionsOmitted whether there may have been more of them
	 */
	SuspectedPart(Set<Long> companions, boolean companionsOmitted) {
		this.companions = companions;
		this.companionsOmitted = companionsOmitted;
	}

	/**
	 * Adds a crash. Of two observations of one crash the earlier one counts.
	 * @param upstreamKey the key of the upstream
	 * @param nanos when it was lost, as a reading of the ticker
	 * @param newPosition the position of this part in the prompt, from 0
	 */
	void addCrash(int upstreamKey, long nanos, int newPosition) {
		this.position = Math.max(this.position, newPosition);
		if (this.crashNanos.size() < MAX_CRASHES || this.crashNanos.containsKey(upstreamKey)) {
			this.crashNanos.merge(upstreamKey, nanos, Math::min);
		}
	}

	/**
	 * Removes crashes that do not count.
	 * @param obsolete returns whether the crash of an upstream at a time does not count
	 */
	void removeCrashesIf(BiPredicate<Integer, Long> obsolete) {
		this.crashNanos.entrySet().removeIf((crash) -> obsolete.test(crash.getKey(), crash.getValue()));
	}

	/**
	 * Returns when the upstreams were lost.
	 * @return readings of the ticker by the key of the upstream
	 */
	Map<Integer, Long> crashNanos() {
		return this.crashNanos;
	}

	int crashCount() {
		return this.crashNanos.size();
	}

	/**
	 * Returns the upstreams that were lost up to a given time.
	 * @param nanos the given time, as a reading of the ticker
	 * @return the keys of the upstreams
	 */
	Set<Integer> crashesUntil(long nanos) {
		return this.crashNanos.entrySet()
			.stream()
			.filter((crash) -> crash.getValue() - nanos <= 0)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the greatest position of the part in a prompt.
	 * @return the position, from 0
	 */
	int position() {
		return this.position;
	}

	/**
	 * Returns the parts without a complete response that all lost requests with this part
	 * had.
	 * @return the keys of the parts, this one included unless it had one
	 */
	Set<Long> companions() {
		return this.companions;
	}

	/**
	 * Replaces the companions, of which another lost request did not have all.
	 * @param remaining those that it had; must not change
	 */
	void companions(Set<Long> remaining) {
		this.companions = remaining;
	}

	boolean companionsOmitted() {
		return this.companionsOmitted;
	}

}
