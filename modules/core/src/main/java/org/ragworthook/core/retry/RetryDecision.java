package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.error.ErrorCode;

/**
 * What to do after an attempt.
 */
public sealed interface RetryDecision {

	/**
	 * Run the request again from the start on another upstream.
	 *
	 * @param delay how long to wait before the retry
	 */
	record Retry(Duration delay) implements RetryDecision {

		/**
		 * Checks that the delay is present.
		 */
		public Retry {
			Objects.requireNonNull(delay, "delay is null");
		}

	}

	/**
	 * Let another upstream continue after the output that the caller has received.
	 *
	 * @param delay how long to wait before the retry
	 */
	record Resume(Duration delay) implements RetryDecision {

		/**
		 * Checks that the delay is present.
		 */
		public Resume {
			Objects.requireNonNull(delay, "delay is null");
		}

	}

	/**
	 * Deliver the upstream's answer to the caller; it is complete.
	 */
	record Deliver() implements RetryDecision {
	}

	/**
	 * Give up and return an error to the caller immediately.
	 *
	 * @param code the error code for the caller
	 */
	record GiveUp(ErrorCode code) implements RetryDecision {

		/**
		 * Checks that the error code is present.
		 */
		public GiveUp {
			Objects.requireNonNull(code, "code is null");
		}

	}

}
