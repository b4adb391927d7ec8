package org.ragworthook.gateway.job;

import java.time.Duration;

/**
 * Decides how long a finished item waits for others, so that one store write publishes
 * several results. An item that finishes in the last second before it is due would be
 * late by that wait alone, so the wait is shorter then.
 */
final class PublishDelay {

	/**
	 * Delay while the due time is far: a quarter of the duration of a typical item.
	 * Writing each item alone would take about ten times the store calls.
	 */
	static final Duration BATCH_DELAY = Duration.ofMillis(1_500);

	/**
	 * Delay near the due time and after it: a sixth of the interval at which callers
	 * poll, and enough to publish items together that finish at the same moment.
	 */
	static final Duration NEAR_DUE_DELAY = Duration.ofMillis(100);

	private PublishDelay() {
	}

	/**
	 * Returns whether the results are to be published now.
	 * @param waited how long the oldest finished item has waited
	 * @param untilDue how long it is until the job is due; negative after that
	 * @return whether the delay has elapsed
	 */
	static boolean elapsed(Duration waited, Duration untilDue) {
		boolean nearDue = untilDue.compareTo(BATCH_DELAY.plus(NEAR_DUE_DELAY)) < 0;
		return waited.compareTo(nearDue ? NEAR_DUE_DELAY : BATCH_DELAY) >= 0;
	}

}
