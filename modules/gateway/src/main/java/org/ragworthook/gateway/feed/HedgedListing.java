package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.ragworthook.core.time.Timers;

/**
 * A listing of a collection that is sent a second time if the first call gets no answer
 * soon.
 * <p>
 * Open connections may go silent without a reset, and a pooled one that has done so keeps
 * a call for the whole time limit of a response. Both calls are sent after the listing
 * was asked for, so either answer may be used. Used on the event loop.
 *
 * @param <T> the type of the entries
 */
final class HedgedListing<T> {

	/** Dozens of times the typical time of an answer. */
	static final Duration HEDGE_DELAY = Duration.ofMillis(300);

	private final Feed<T> feed;

	private final Executor loop;

	private final CompletableFuture<Changes<T>> result = new CompletableFuture<>();

	private Optional<Timers.Timer> timer = Optional.empty();

	private int pending;

	private HedgedListing(Feed<T> feed, Executor loop) {
		this.feed = Objects.requireNonNull(feed, "feed is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
	}

	/**
	 * Lists a collection.
	 * @param <T> the type of the entries
	 * @param feed the collection
	 * @param timers schedules the second call
	 * @param loop the event loop, on which the result is completed
	 * @param onOverdue called before the second call
	 * @return the first answer; fails once no call can be answered any more
	 */
	static <T> CompletableFuture<Changes<T>> start(Feed<T> feed, Timers timers, Executor loop, Runnable onOverdue) {
		HedgedListing<T> listing = new HedgedListing<>(feed, loop);
		listing.send();
		if (!listing.result.isDone()) {
			listing.timer = Optional.of(timers.schedule(HEDGE_DELAY, () -> listing.overdue(onOverdue)));
		}
		return listing.result;
	}

	/**
	 * Runs a call that may throw instead of returning a future.
	 * @param <R> the type of the result
	 * @param call the call
	 * @return the future of the call, or one that has failed
	 */
	static <R> CompletableFuture<R> call(Supplier<CompletableFuture<R>> call) {
		try {
			return call.get();
		}
		catch (Throwable ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void overdue(Runnable onOverdue) {
		if (!this.result.isDone()) {
			onOverdue.run();
			send();
		}
	}

	private void send() {
		this.pending++;
		call(this.feed::list).whenCompleteAsync(this::completed, this.loop);
	}

	private void completed(Changes<T> all, Throwable failure) {
		this.pending--;
		if (failure != null && this.pending > 0) {
			return;
		}
		this.timer.ifPresent(Timers.Timer::cancel);
		if (failure == null) {
			this.result.complete(all);
		}
		else {
			this.result.completeExceptionally(failure);
		}
	}

}
