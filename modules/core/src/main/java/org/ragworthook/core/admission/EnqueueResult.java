package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Whether a request got a place in a fair queue.
 *
 * @param <T> the type of what waits
 */
public sealed interface EnqueueResult<T> {

	/**
	 * The request waits.
	 *
	 * @param shed who had to go for it, never passed on
	 * @param retryAfter what the one who had to go is told
	 * @param <T> the type of what waits
	 */
	record Queued<T>(Optional<QueuedRequest<T>> shed, Duration retryAfter) implements EnqueueResult<T> {

		/**
		 * Checks the parts.
		 */
		public Queued {
			Objects.requireNonNull(shed, "shed is null");
			Objects.requireNonNull(retryAfter, "retryAfter is null");
		}

	}

	/**
	 * The request was refused.
	 *
	 * @param reason why
	 * @param retryAfter after which time it may find room
	 * @param <T> the type of what waits
	 */
	record Refused<T>(Reason reason, Duration retryAfter) implements EnqueueResult<T> {

		/**
		 * Checks the parts.
		 */
		public Refused {
			Objects.requireNonNull(reason, "reason is null");
			Objects.requireNonNull(retryAfter, "retryAfter is null");
		}

	}

	/**
	 * Why a request was refused.
	 */
	enum Reason {

		/** The queue is full, and nothing in it is less urgent. */
		FULL,

		/** The deadline will pass before its turn comes. */
		DEADLINE_UNREACHABLE

	}

}
