package org.ragworthook.gateway.online;

import java.time.Duration;

/**
 * Decides when an upstream that sends nothing is given up for a request.
 * <p>
 * A machine that loses power closes no connection; its requests would wait until their
 * deadline. An engine that runs a request sends an event every 25 to 40 ms, so silence of
 * several times that means that the run stands still. A request that may go on elsewhere
 * is moved while its caller notices nothing yet: callers count a pause of 250 ms as late.
 */
final class StallRule {

	/** Silence in the middle of a stream: four to six usual gaps between events. */
	static final Duration MIDWAY = Duration.ofMillis(160);

	/**
	 * Silence before the first event at an engine with a slot free: six times the usual
	 * 30 ms, and early enough to be answered elsewhere within the usual goal of 300 ms.
	 */
	static final Duration FIRST = Duration.ofMillis(180);

	/** Silence before the first event at a full engine, where a slot has to come free. */
	static final Duration FIRST_QUEUED = Duration.ofMillis(1_200);

	private StallRule() {
	}

	/**
	 * Returns how long an upstream may be silent.
	 * @param answering whether the answer has begun
	 * @param queued whether the request was sent to a full engine
	 * @return the time
	 */
	static Duration patience(boolean answering, boolean queued) {
		if (answering) {
			return MIDWAY;
		}
		return queued ? FIRST_QUEUED : FIRST;
	}

}
