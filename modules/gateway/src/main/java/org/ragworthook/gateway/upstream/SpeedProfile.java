package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What an upstream's observed speed means for its load: how long requests take there, how
 * many of them it should run at once, and how many more may be sent to it. Immutable.
 */
final class SpeedProfile {

	/**
	 * Events of a typical online stream. Costs are compared between upstreams, so an
	 * error of a factor of two changes few choices.
	 */
	static final int TYPICAL_EVENTS = 25;

	/**
	 * Requests queued at an upstream beyond its slots at most. More would not keep its
	 * slots busier, and cannot move to a slot that becomes free elsewhere.
	 */
	private static final int MAX_QUEUE_DEPTH = 4;

	/**
	 * Share of the highest observed throughput from which more running requests only
	 * lengthen the gaps of all. Observed gaps vary by about as much.
	 */
	private static final double KNEE_THROUGHPUT = 0.98;

	/** Observations that are read between half of the slots and all of them, at most. */
	private static final int MAX_POINTS = 8;

	private final double firstEventMillis;

	/** Time between two events, by the number of running requests less one. */
	private final double[] gapMillis;

	private final int slots;

	private final int queueDepth;

	private final OptionalLong probeNanos;

	private SpeedProfile(double firstEventMillis, double[] gapMillis, int slots, int queueDepth,
			OptionalLong probeNanos) {
		this.firstEventMillis = firstEventMillis;
		this.gapMillis = gapMillis;
		this.slots = slots;
		this.queueDepth = queueDepth;
		this.probeNanos = probeNanos;
	}

	/**
	 * Returns the profile of an upstream in use.
	 * @param upstream the upstream
	 * @param speeds the observed speeds
	 * @param latencyTarget the callers' target for the time to the first event
	 * @return the profile, or empty if too little was observed
	 */
	static Optional<SpeedProfile> of(TrackedUpstream upstream, UpstreamSpeeds speeds, Duration latencyTarget) {
		Objects.requireNonNull(latencyTarget, "latencyTarget is null");
		int stated = upstream.descriptor().slots();
		double[] gaps = new double[stated];
		int least = (stated + 1) / 2;
		int step = Math.max(1, (stated - least + MAX_POINTS - 1) / MAX_POINTS);
		int previous = 0;
		for (int running = 1; running > previous; running = Math.min(stated, Math.max(least, running + step))) {
			OptionalDouble gap = speeds.gapMillis(upstream, running);
			if (gap.isEmpty() || gap.getAsDouble() <= 0) {
				return Optional.empty();
			}
			gaps[running - 1] = gap.getAsDouble();
			interpolate(gaps, previous, running);
			previous = running;
		}
		double firstEvent = speeds.firstEventMillis(upstream).orElse(gaps[0]);
		int slots = knee(gaps, least);
		double slotInterval = runMillis(firstEvent, gaps[slots - 1]) / slots;
		int queueDepth = (int) Math.min(MAX_QUEUE_DEPTH, latencyTarget.toMillis() / 2 / slotInterval);
		return Optional.of(new SpeedProfile(firstEvent, gaps, slots, queueDepth, OptionalLong.empty()));
	}

	private static void interpolate(double[] gaps, int from, int to) {
		for (int running = from + 1; from > 0 && running < to; running++) {
			gaps[running - 1] = gaps[from - 1] + (gaps[to - 1] - gaps[from - 1]) * (running - from) / (to - from);
		}
	}

	private static int knee(double[] gaps, int least) {
		double highest = 0;
		for (int running = least; running <= gaps.length; running++) {
			highest = Math.max(highest, running / gaps[running - 1]);
		}
		int slots = least;
		while (slots < gaps.length && slots / gaps[slots - 1] < KNEE_THROUGHPUT * highest) {
			slots++;
		}
		return slots;
	}

	private static double runMillis(double firstEventMillis, double gapMillis) {
		return firstEventMillis + (TYPICAL_EVENTS - 1) * gapMillis;
	}

	/**
	 * Returns this profile for an upstream that is too slow for online requests.
	 * @param nextProbeNanos when it is sent one request as a probe, a reading of the
	 * ticker
	 * @return the profile of an upstream out of use
	 */
	SpeedProfile outOfUse(long nextProbeNanos) {
		return new SpeedProfile(this.firstEventMillis, this.gapMillis, this.slots, this.queueDepth,
				OptionalLong.of(nextProbeNanos));
	}

	/**
	 * Returns when an upstream that is out of use is sent a probe.
	 * @return a reading of the ticker, or empty for an upstream in use
	 */
	OptionalLong probeNanos() {
		return this.probeNanos;
	}

	/**
	 * Returns the time from sending a request to its first event while a slot is free.
	 * @return milliseconds
	 */
	double firstEventMillis() {
		return this.firstEventMillis;
	}

	/**
	 * Returns the time between two events of a stream.
	 * @param running the number of running requests; above the stated slots, that of all
	 * slots
	 * @return milliseconds
	 */
	double gapMillis(int running) {
		return this.gapMillis[Math.max(1, Math.min(running, this.gapMillis.length)) - 1];
	}

	/**
	 * Returns the duration of a typical online request.
	 * @param running the number of running requests
	 * @return milliseconds from its start to its last event
	 */
	double runMillis(int running) {
		return runMillis(this.firstEventMillis, gapMillis(running));
	}

	/**
	 * Returns after how long a slot of a full upstream becomes free.
	 * @return milliseconds on average
	 */
	double slotIntervalMillis() {
		return runMillis(this.slots) / this.slots;
	}

	/**
	 * Returns how many requests the upstream should run at once: beyond them, its
	 * throughput does not grow.
	 * @return at least half of the stated slots, and at most all of them
	 */
	int slots() {
		return this.slots;
	}

	/**
	 * Returns how many requests may be queued at the upstream beyond its slots: as many
	 * as start within half of the latency target.
	 * @return the number, 0 to 4
	 */
	int queueDepth() {
		return this.queueDepth;
	}

}
