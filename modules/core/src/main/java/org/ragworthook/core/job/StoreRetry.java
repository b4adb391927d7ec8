package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.time.Timers;

/**
 * Repeats calls that the platform refused for the moment, a few times with back-off.
 */
final class StoreRetry {

	private static final int TRIES = 4;

	private static final Duration FIRST = Duration.ofMillis(100);

	private static final int FACTOR = 4;

	private final Timers timers;

	StoreRetry(Timers timers) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Makes a call.
	 * @param <T> what the call returns
	 * @param call makes the call once
	 * @return the result of the first try that was not refused, or the last failure
	 */
	<T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
		return attempt(call, TRIES, FIRST);
	}

	private <T> CompletableFuture<T> attempt(Supplier<CompletableFuture<T>> call, int tries, Duration pause) {
		return call.get().handle((value, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(value);
			}
			if (tries <= 1 || !passing(failure)) {
				return CompletableFuture.<T>failedFuture(failure);
			}
			CompletableFuture<Void> waited = new CompletableFuture<>();
			this.timers.schedule(pause, () -> waited.complete(null));
			return waited.thenCompose((done) -> attempt(call, tries - 1, pause.multipliedBy(FACTOR)));
		}).thenCompose((settled) -> settled);
	}

	/**
	 * Tells whether a failure may pass by itself and had no effect.
	 * @param failure what a future of the store failed with
	 * @return whether the call may be made again
	 */
	static boolean passing(Throwable failure) {
		return ConditionalWriter.codeOf(failure)
			.filter((code) -> code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_RATE_LIMITED)
			.isPresent();
	}

	static boolean conflict(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_CONFLICT).isPresent();
	}

	/**
	 * Tells whether the object must be read again to know what became of a write.
	 * @param failure what a future of the store failed with
	 * @return whether another write came first, or may have
	 */
	static boolean undecided(Throwable failure) {
		return conflict(failure) || ConditionalWriter.codeOf(failure)
			.filter((code) -> code == ErrorCode.STORE_OUTCOME_UNKNOWN)
			.isPresent();
	}

}
