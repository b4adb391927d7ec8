package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The usual times of a service's upstreams, and the timeouts that follow from them.
 * <p>
 * Every timeout has a lower bound, at which fleets with gaps of up to 32 ms between
 * events are served. Above it, the timeout is five times the observed time, 2 s at most.
 * An event that is five times as late as usual is rare at an upstream that works: with 60
 * ms for a token and 8 tokens in an event, the bounds alone took every request for
 * stalled.
 *
 * @param gapMillis the time between two events at full load, of the median upstream, in
 * milliseconds; empty if too little was observed since the start of this process
 * @param firstEventMillis the time from sending a request to its first event while a slot
 * is free, of the median upstream, in milliseconds; empty if none was observed
 * @param runMillis the duration of a run, of the median upstream, in milliseconds; empty
 * if none was observed
 * @param learning whether this process has used the service for so short a time that it
 * cannot tell a slow upstream from a stalled one
 */
public record ServiceTimes(OptionalDouble gapMillis, OptionalDouble firstEventMillis, OptionalDouble runMillis,
		boolean learning) {

	/** Times of a service that was not used yet. */
	public static final ServiceTimes UNKNOWN = new ServiceTimes(OptionalDouble.empty(), OptionalDouble.empty(),
			OptionalDouble.empty(), true);

	/** How many times as late as usual an event is if its upstream has stalled. */
	private static final double LATENESS = 5;

	private static final double MAX_FAST_GAP_MILLIS = 32;

	/**
	 * Lateness of a first event at the greatest gap of a fast fleet. It grows to the
	 * usual one with the gap: with five times at once, a fleet whose gap varies around 32
	 * ms would find a stalled upstream now after 180 ms and now after 300 ms.
	 */
	private static final double LEAST_FIRST_EVENT_LATENESS = 3;

	private static final Duration MAX_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * Checks that no component is null.
	 */
	public ServiceTimes {
		Objects.requireNonNull(gapMillis, "gapMillis is null");
		Objects.requireNonNull(firstEventMillis, "firstEventMillis is null");
		Objects.requireNonNull(runMillis, "runMillis is null");
	}

	/**
	 * Returns how long a stream may be without an event.
	 * @param lowerBound the timeout for fast upstreams
	 * @param routeTimeout the time that the request's route allows for the response
	 * @return the timeout; the greatest one while the service's speed is being learnt
	 */
	public Duration betweenEvents(Duration lowerBound, Duration routeTimeout) {
		return silence(lowerBound, derived(LATENESS, this.gapMillis), longest(routeTimeout));
	}

	/**
	 * Returns how long an upstream with a free slot may be without a first event.
	 * @param lowerBound the timeout for fast upstreams
	 * @param routeTimeout the time that the request's route allows for the response
	 * @return the timeout; the greatest one while the service's speed is being learnt
	 */
	public Duration untilFirstEvent(Duration lowerBound, Duration routeTimeout) {
		return silence(lowerBound, derivedFromFirstEvent(), longest(routeTimeout));
	}

	/**
	 * Returns how long a full upstream may be without a first event. The request first
	 * waits for the end of another run, which may have begun a moment ago, so that 2 s
	 * are no limit.
	 * @param lowerBound the timeout for fast upstreams
	 * @param routeTimeout the time that the request's route allows for the response
	 * @return the timeout, half of the route's at most
	 */
	public Duration untilQueuedFirstEvent(Duration lowerBound, Duration routeTimeout) {
		if (!slow() && !unknown()) {
			return lowerBound;
		}
		Duration wait = millis(this.runMillis.orElse(routeTimeout.toMillis()));
		Duration needed = wait.plus(untilFirstEvent(Duration.ZERO, routeTimeout));
		return max(lowerBound, min(needed, routeTimeout.dividedBy(2)));
	}

	/**
	 * Returns how long a batch item may wait for the head of its response.
	 * @param lowerBound the time for fast upstreams
	 * @return the time; the lower bound as long as nothing is known of the service, since
	 * it is doubled with each withdrawal
	 */
	public Duration queueTime(Duration lowerBound) {
		return slow() ? max(lowerBound, derivedFromFirstEvent()) : lowerBound;
	}

	/**
	 * Returns a time within which the state of an upstream is not likely to change: for
	 * which it is avoided, no batch items are started or a caller waits for its next
	 * attempt.
	 * @param lowerBound the time for fast upstreams
	 * @return the time
	 */
	public Duration pause(Duration lowerBound) {
		return slow() ? max(lowerBound, derived(LATENESS, this.gapMillis)) : lowerBound;
	}

	/**
	 * Returns whether upstreams may be slow without this process knowing. A service whose
	 * responses are no streams has no gaps, so that this ends with the time to learn.
	 */
	private boolean unknown() {
		return this.gapMillis.isEmpty() && this.learning;
	}

	private boolean slow() {
		return this.gapMillis.orElse(0) > MAX_FAST_GAP_MILLIS;
	}

	private Duration derivedFromFirstEvent() {
		double lateness = LEAST_FIRST_EVENT_LATENESS * this.gapMillis.orElse(0) / MAX_FAST_GAP_MILLIS;
		return derived(Math.min(LATENESS, lateness),
				this.firstEventMillis.isPresent() ? this.firstEventMillis : this.gapMillis);
	}

	private Duration silence(Duration lowerBound, Duration derived, Duration longest) {
		if (unknown()) {
			return max(lowerBound, longest);
		}
		return slow() ? max(lowerBound, min(derived, longest)) : lowerBound;
	}

	private static Duration longest(Duration routeTimeout) {
		return min(MAX_TIMEOUT, routeTimeout.dividedBy(2));
	}

	private static Duration derived(double lateness, OptionalDouble observedMillis) {
		return min(millis(lateness * observedMillis.orElse(0)), MAX_TIMEOUT);
	}

	private static Duration millis(double millis) {
		return Duration.ofNanos((long) (millis * 1_000_000));
	}

	private static Duration min(Duration one, Duration other) {
		return (one.compareTo(other) <= 0) ? one : other;
	}

	private static Duration max(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

}
