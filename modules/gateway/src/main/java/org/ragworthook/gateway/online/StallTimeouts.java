package org.ragworthook.gateway.online;

import java.time.Duration;

import org.ragworthook.gateway.observe.ServiceTimes;

/**
 * The times after which an upstream that sends nothing counts as stalled for a request.
 * <p>
 * A machine that loses power closes no connection, so its requests would wait until their
 * deadline. A request that may be resumed or repeated at another upstream is moved there
 * before its caller notices a pause. The times apply to fast upstreams; those of slow
 * ones follow from what is observed of the service.
 */
final class StallTimeouts {

	/** Time without an event after which a stream counts as stalled. */
	static final Duration EVENT_TIMEOUT = Duration.ofMillis(160);

	/**
	 * Time without a first event after which an upstream with a free slot counts as
	 * stalled.
	 */
	static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(180);

	/**
	 * Time without a first event after which a full upstream, where the request first
	 * waits for a slot, counts as stalled.
	 */
	static final Duration QUEUED_FIRST_EVENT_TIMEOUT = Duration.ofMillis(1_200);

	private StallTimeouts() {
	}

	/**
	 * Returns how long an upstream may send nothing before it counts as stalled.
	 * @param responseStarted whether the response has begun
	 * @param queued whether the upstream had no free slot when the request was sent
	 * @param times the usual times of the service's upstreams
	 * @param routeTimeout the time that the request's route allows for the response
	 * @return the timeout
	 */
	static Duration timeout(boolean responseStarted, boolean queued, ServiceTimes times, Duration routeTimeout) {
		if (responseStarted) {
			return times.betweenEvents(EVENT_TIMEOUT, routeTimeout);
		}
		return queued ? times.untilQueuedFirstEvent(QUEUED_FIRST_EVENT_TIMEOUT, routeTimeout)
				: times.untilFirstEvent(FIRST_EVENT_TIMEOUT, routeTimeout);
	}

}
