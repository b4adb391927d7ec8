package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.error.ErrorCode;

/**
 * What follows an attempt.
 */
public sealed interface RetryDecision {

	/**
	 * Run the request anew on another upstream.
	 *
	 * @param delay how long to wait before
	 */
	record Retry(Duration delay) implements RetryDecision {

		/**
		 * Checks the delay.
		 */
		public Retry {
			Objects.requireNonNull(delay, "delay is null");
		}

	}

	/**
	 * Let another upstream go on after what the caller already has.
	 *
	 * @param delay how long to wait before
	 */
	record Resume(Duration delay) implements RetryDecision {

		/**
		 * Checks the delay.
		 */
		public Resume {
			Objects.requireNonNull(delay, "delay is null");
		}

	}

	/**
	 * Pass the upstream's answer on; it is whole.
	 */
	record Deliver() implements RetryDecision {
	}

	/**
	 * Give up and say so at once.
	 *
	 * @param code what the caller is told
	 */
	record GiveUp(ErrorCode code) implements RetryDecision {

		/**
		 * Checks the code.
		 */
		public GiveUp {
			Objects.requireNonNull(code, "code is null");
		}

	}

}
