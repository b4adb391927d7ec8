package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.time.Timers;

/**
 * Retries calls that the object store rejected as unavailable or rate-limited, with
 * exponential backoff.
 */
final class StoreRetry {

	private static final int MAX_ATTEMPTS = 4;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

	private static final int BACKOFF_FACTOR = 4;

	private final Timers timers;

	StoreRetry(Timers timers) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Makes a call.
	 * @param <T> the type of the result
	 * @param call makes one attempt
	 * @return the result of the first attempt that was not rejected, or the last failure
	 */
	<T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
		return attempt(call, MAX_ATTEMPTS, INITIAL_BACKOFF);
	}

	private <T> CompletableFuture<T> attempt(Supplier<CompletableFuture<T>> call, int attemptsLeft, Duration backoff) {
		return call.get().handle((value, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(value);
			}
			if (attemptsLeft <= 1 || !transientFailure(failure)) {
				return CompletableFuture.<T>failedFuture(failure);
			}
			CompletableFuture<Void> waited = new CompletableFuture<>();
			this.timers.schedule(backoff, () -> waited.complete(null));
			return waited.thenCompose((done) -> attempt(call, attemptsLeft - 1, backoff.multipliedBy(BACKOFF_FACTOR)));
		}).thenCompose((settled) -> settled);
	}

	/**
	 * Returns whether a failure is transient and the call had no effect.
	 * @param failure the failure of a call to the object store
	 * @return whether the call may be repeated
	 */
	static boolean transientFailure(Throwable failure) {
		return ConditionalWriter.codeOf(failure)
			.filter((code) -> code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_RATE_LIMITED)
			.isPresent();
	}

	static boolean conflict(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_CONFLICT).isPresent();
	}

	/**
	 * Returns whether the object must be read again to learn whether a write took effect.
	 * @param failure the failure of a call to the object store
	 * @return whether the write conflicted with another one or its outcome is unknown
	 */
	static boolean conflictOrUnknown(Throwable failure) {
		return conflict(failure) || ConditionalWriter.codeOf(failure)
			.filter((code) -> code == ErrorCode.STORE_OUTCOME_UNKNOWN)
			.isPresent();
	}

}
