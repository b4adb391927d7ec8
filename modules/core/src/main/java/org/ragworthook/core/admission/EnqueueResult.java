package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The result of offering a request to a {@link FairQueue}.
 *
 * @param <T> the type of the queued item
 */
public sealed interface EnqueueResult<T> {

	/**
	 * The request was queued.
	 *
	 * @param shed the request removed to make room, if any; it was never sent
	 * @param retryAfter when the shed request should be sent again
	 * @param <T> the type of the queued item
	 */
	record Queued<T>(Optional<QueuedRequest<T>> shed, Duration retryAfter) implements EnqueueResult<T> {

		/**
		 * Checks that no component is null.
		 */
		public Queued {
			Objects.requireNonNull(shed, "shed is null");
			Objects.requireNonNull(retryAfter, "retryAfter is null");
		}

	}

	/**
	 * The request was refused.
	 *
	 * @param reason why it was refused
	 * @param retryAfter when it should be sent again
	 * @param <T> the type of the queued item
	 */
	record Refused<T>(Reason reason, Duration retryAfter) implements EnqueueResult<T> {

		/**
		 * Checks that no component is null.
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

		/** The queue is full and holds no request that may be shed for this one. */
		FULL,

		/** The deadline is earlier than the expected end of the wait. */
		DEADLINE_UNREACHABLE

	}

}
