package org.ragworthook.gateway.online;

import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.route.Route;

/**
 * Decides what follows when an attempt ends without a complete response.
 * <p>
 * A stream that cannot be resumed and a request that may be executed at most once are
 * retried only if it is certain that no upstream has begun to execute them: nothing was
 * sent, or the upstream said so. A resumable stream continues at another upstream after
 * the events that the caller has received.
 */
final class RetryPolicy {

	private RetryPolicy() {
	}

	/**
	 * Decides what follows after an attempt has failed.
	 * @param route the request's route
	 * @param attempts the number of upstreams that received the request so far, including
	 * this one
	 * @param progress what was forwarded of the response
	 * @param failure how the attempt failed
	 * @return the decision
	 */
	static Decision afterFailure(Route route, int attempts, ForwardedResponse.Progress progress, SendFailure failure) {
		boolean again = failure == SendFailure.NOT_SENT || (route.retryable() && attempts < route.maxAttempts());
		if (progress == ForwardedResponse.Progress.NOT_STARTED) {
			return again ? Decision.RETRY : Decision.FAIL;
		}
		return (again && continuable(route, progress)) ? Decision.RETRY : Decision.ABORT;
	}

	/**
	 * Returns whether a request may be moved from a stalled upstream to another one.
	 * @param route the request's route
	 * @param attempts the number of upstreams that received the request before the
	 * stalled one
	 * @param progress what was forwarded of the response
	 * @return whether another upstream can serve the request, or the rest of its response
	 */
	static boolean mayMove(Route route, int attempts, ForwardedResponse.Progress progress) {
		return route.retryable() && attempts + 1 < route.maxAttempts()
				&& (progress == ForwardedResponse.Progress.NOT_STARTED || continuable(route, progress));
	}

	/**
	 * Returns whether another upstream can continue a response that has begun. Only the
	 * events of a resumable stream have a place at which to continue; the body of another
	 * response would be sent a second time after a part of the first one.
	 * @param route the request's route
	 * @param progress what was forwarded of the response
	 * @return whether to send the request to another upstream
	 */
	private static boolean continuable(Route route, ForwardedResponse.Progress progress) {
		return route.resumable() && progress == ForwardedResponse.Progress.EVENTS;
	}

	/**
	 * Decides what follows after an upstream has stated that it did not execute the
	 * request.
	 * @param route the request's route
	 * @param attempts the number of upstreams that received the request so far, including
	 * this one
	 * @param mayHaveRun whether an earlier upstream may have executed the request
	 * @param progress what was forwarded of the response
	 * @return the decision
	 */
	static Decision afterRejection(Route route, int attempts, boolean mayHaveRun, ForwardedResponse.Progress progress) {
		if (attempts < route.maxAttempts()) {
			return Decision.RETRY;
		}
		if (progress != ForwardedResponse.Progress.NOT_STARTED) {
			return Decision.ABORT;
		}
		return mayHaveRun ? Decision.FAIL : Decision.REJECT;
	}

	/**
	 * What follows an attempt without a complete response.
	 */
	enum Decision {

		/** Send the request to another upstream. */
		RETRY,

		/** Answer that the request was not executed. */
		REJECT,

		/** Answer that the request failed and may have been executed. */
		FAIL,

		/** Break off the response that has begun. */
		ABORT

	}

}
