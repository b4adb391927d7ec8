package org.ragworthook.gateway.online;

import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.route.Route;

/**
 * Decides what follows when an attempt ends without a whole answer.
 * <p>
 * A stream that may not be resumed and a request that may run once are sent again only if
 * it is certain that no upstream began with them: nothing was sent, or the upstream said
 * so. A resumable stream goes on elsewhere after the events that the caller has.
 */
final class RetryRule {

	private RetryRule() {
	}

	/**
	 * Decides.
	 * @param route the request's route
	 * @param attempts the upstreams that got the request so far, this one included
	 * @param answering whether the caller has a part of an answer
	 * @param failure what is known of the attempt
	 * @return what to do
	 */
	static Next afterFailure(Route route, int attempts, boolean answering, SendFailure failure) {
		boolean again = failure == SendFailure.NOT_SENT || (route.retryable() && attempts < route.maxAttempts());
		if (answering) {
			return (again && route.resumable()) ? Next.AGAIN : Next.BREAK_OFF;
		}
		return again ? Next.AGAIN : Next.UNKNOWN;
	}

	/**
	 * Decides after an upstream has said that it did not run the request.
	 * @param route the request's route
	 * @param attempts the upstreams that got the request so far, this one included
	 * @param mayHaveRun whether an earlier upstream may have run it
	 * @param answering whether the caller has a part of an answer
	 * @return what to do
	 */
	static Next afterRefusal(Route route, int attempts, boolean mayHaveRun, boolean answering) {
		if (attempts < route.maxAttempts()) {
			return Next.AGAIN;
		}
		if (answering) {
			return Next.BREAK_OFF;
		}
		return mayHaveRun ? Next.UNKNOWN : Next.REFUSE;
	}

	/**
	 * What can follow.
	 */
	enum Next {

		/** Send it to another upstream. */
		AGAIN,

		/** Tell the caller that it was not run. */
		REFUSE,

		/** Tell the caller that it failed and may have run. */
		UNKNOWN,

		/** Break the begun answer off. */
		BREAK_OFF

	}

}
