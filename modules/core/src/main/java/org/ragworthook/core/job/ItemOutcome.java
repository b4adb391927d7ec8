package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Objects;

/**
 * The outcome of one attempt at an item.
 */
public sealed interface ItemOutcome {

	/**
	 * The upstream answered.
	 *
	 * @param status the HTTP status
	 * @param body the response body
	 */
	record Answered(int status, String body) implements ItemOutcome {

		/**
		 * Checks that no component is null.
		 */
		public Answered {
			Objects.requireNonNull(body, "body is null");
		}

	}

	/**
	 * The item was not passed on to any upstream.
	 *
	 * @param retryAfter the delay before the next attempt
	 */
	record NotPassedOn(Duration retryAfter) implements ItemOutcome {
	}

	/**
	 * The item was passed on to an upstream, and its answer was lost.
	 *
	 * @param detail the cause, for the error message
	 */
	record Broken(String detail) implements ItemOutcome {
	}

	/**
	 * The item was preempted by online requests.
	 *
	 * @param text the text generated so far, including the text it was resumed from
	 * @param tokens the number of tokens in the text
	 */
	record Yielded(String text, int tokens) implements ItemOutcome {
	}

	/**
	 * The item was stopped because its job was cancelled or the item was recalled.
	 */
	record Cancelled() implements ItemOutcome {
	}

	/**
	 * The item was rejected without being passed on, because the sidecar has seen a
	 * higher epoch of the shard.
	 */
	record Fenced() implements ItemOutcome {
	}

	/**
	 * The upstream crashed while it ran the item.
	 *
	 * @param inFlight the number of requests that the upstream was running, including
	 * this item
	 */
	record Crashed(int inFlight) implements ItemOutcome {
	}

}
