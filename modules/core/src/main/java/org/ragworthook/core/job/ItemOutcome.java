package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Objects;

/**
 * What became of one attempt at an item.
 */
public sealed interface ItemOutcome {

	/**
	 * The upstream answered.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 */
	record Answered(int status, String body) implements ItemOutcome {

		/**
		 * Checks that all parts are there.
		 */
		public Answered {
			Objects.requireNonNull(body, "body is null");
		}

	}

	/**
	 * The upstream never got any of it.
	 *
	 * @param retryAfter how long to wait
	 */
	record NotPassedOn(Duration retryAfter) implements ItemOutcome {
	}

	/**
	 * It was passed on, and the answer was lost.
	 *
	 * @param detail what happened
	 */
	record Broken(String detail) implements ItemOutcome {
	}

	/**
	 * It gave way to online requests.
	 *
	 * @param text the text so far, what it was resumed with included
	 * @param tokens the tokens so far
	 */
	record Yielded(String text, int tokens) implements ItemOutcome {
	}

	/**
	 * It was stopped by a cancel.
	 */
	record Cancelled() implements ItemOutcome {
	}

	/**
	 * It was refused, because a later owner of the shard was seen, and not passed on.
	 */
	record Fenced() implements ItemOutcome {
	}

	/**
	 * The upstream crashed with it in flight.
	 *
	 * @param inFlight how many requests were in flight, this one included
	 */
	record Crashed(int inFlight) implements ItemOutcome {
	}

}
