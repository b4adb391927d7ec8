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
	 * @param responseStarted whether a part of the response was sent to the caller
	 * @param failure how the attempt failed
	 * @return the decision
	 */
	static Decision afterFailure(Route route, int attempts, boolean responseStarted, SendFailure failure) {
		boolean again = failure == SendFailure.NOT_SENT || (route.retryable() && attempts < route.maxAttempts());
		if (responseStarted) {
			return (again && route.resumable()) ? Decision.RETRY : Decision.ABORT;
		}
		return again ? Decision.RETRY : Decision.FAIL;
	}

	/**
	 * Decides what follows after an upstream has stated that it did not execute the
	 * request.
	 * @param route the request's route
	 * @param attempts the number of upstreams that received the request so far, including
	 * this one
	 * @param mayHaveRun whether an earlier upstream may have executed the request
	 * @param responseStarted whether a part of the response was sent to the caller
	 * @return the decision
	 */
	static Decision afterRejection(Route route, int attempts, boolean mayHaveRun, boolean responseStarted) {
		if (attempts < route.maxAttempts()) {
			return Decision.RETRY;
		}
		if (responseStarted) {
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
