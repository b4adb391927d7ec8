package org.ragworthook.gateway.job;

import java.time.Duration;

/**
 * Decides how long a finished item may wait for others to be listed with it.
 * <p>
 * Each writing is a call of the store, so results are gathered. An item that ends in the
 * last second before it is due would be late for that alone.
 */
final class ListingRule {

	/**
	 * The usual time: a quarter of what a usual item takes. One write for each item would
	 * be some ten times the store calls.
	 */
	static final Duration GATHER = Duration.ofMillis(1_500);

	/**
	 * The time near the due time and after it: a sixth of a caller's pause between reads,
	 * and enough to take items together that end at the same moment.
	 */
	static final Duration GATHER_DUE = Duration.ofMillis(100);

	private ListingRule() {
	}

	/**
	 * Decides.
	 * @param waited how long the oldest finished item has waited
	 * @param untilDue how long it is until the job is due; negative after that
	 * @return whether to list now
	 */
	static boolean due(Duration waited, Duration untilDue) {
		boolean near = untilDue.compareTo(GATHER.plus(GATHER_DUE)) < 0;
		return waited.compareTo(near ? GATHER_DUE : GATHER) >= 0;
	}

}
