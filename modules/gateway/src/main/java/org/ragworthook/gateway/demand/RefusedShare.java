package org.ragworthook.gateway.demand;

import java.time.Duration;

/**
 * Decides which share of new requests an entry refuses that is behind.
 * <p>
 * Answers a load of more requests than the entry can handle: without refusals all of its
 * requests are late, with them it keeps as many as it can finish on time.
 */
final class RefusedShare {

	/** Lag up to which nothing is refused; busy entries run 10 ms late. */
	static final Duration MAX_LAG = Duration.ofMillis(50);

	/**
	 * Time for which caller connections may hold unwritten bytes before requests are
	 * refused: most of the time that callers allow for the first event.
	 */
	static final Duration MAX_UNWRITTEN = Duration.ofMillis(250);

	/**
	 * Share of the latency target that the entry may use for itself. As for the sending
	 * of requests, the rest is left to the upstream for its first event.
	 */
	private static final double ENTRY_SHARE = 0.75;

	/**
	 * How often a request waits for the loop: to be read, behind those that are read with
	 * it, and for its first event.
	 */
	private static final int WAITS_FOR_LOOP = 3;

	private RefusedShare() {
	}

	/**
	 * Returns the share of new requests to refuse. It grows linearly with the delay, from
	 * the delay that is allowed to the one with which no request meets its target, so
	 * that the delay settles where the entry finishes what it accepts.
	 * @param lag how late the event loop runs
	 * @param unwritten how long caller connections hold unwritten bytes
	 * @param latencyTarget the target for the time from a request to its first event
	 * @return the share, from 0 to 1
	 */
	static double of(Duration lag, Duration unwritten, Duration latencyTarget) {
		double excess = Math.max(millis(lag.minus(MAX_LAG)), millis(unwritten.minus(MAX_UNWRITTEN)));
		if (excess <= 0) {
			return 0;
		}
		double tooLate = millis(latencyTarget) * ENTRY_SHARE / WAITS_FOR_LOOP - millis(MAX_LAG);
		return (tooLate <= 0) ? 1 : Math.min(1, excess / tooLate);
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
