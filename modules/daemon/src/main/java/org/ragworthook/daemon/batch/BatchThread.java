package org.ragworthook.daemon.batch;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;
import org.ragworthook.core.time.Timers;

/**
 * The one thread on which an entry's batch work is done. Reading or writing a chunk of
 * some hundred items takes milliseconds; on an event loop online requests would wait for
 * them, which their callers would notice in the tail of the latency.
 */
final class BatchThread implements Executor, AutoCloseable {

	private static final long SECONDS_TO_END = 2;

	private final ThreadPoolExecutor executor;

	BatchThread() {
		this.executor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), (task) -> {
			Thread thread = new Thread(task, "ragworthook-batch");
			thread.setDaemon(true);
			return thread;
		});
	}

	@Override
	public void execute(Runnable task) {
		try {
			this.executor.execute(task);
		}
		catch (RejectedExecutionException ex) {
			// The process is stopping; what is left is done by the next owner.
			return;
		}
	}

	/**
	 * Returns a future that completes on this thread.
	 * @param <T> what it returns
	 * @param future completes anywhere
	 * @return the same outcome
	 */
	<T> CompletableFuture<T> here(CompletableFuture<T> future) {
		return future.handleAsync((value, failure) -> {
			CompletableFuture<T> settled = new CompletableFuture<>();
			if (failure != null) {
				settled.completeExceptionally(failure);
			}
			else {
				settled.complete(value);
			}
			return settled;
		}, this).thenCompose(Function.identity());
	}

	/**
	 * Returns timers whose tasks run on this thread.
	 * @param timers run elsewhere
	 * @return the timers
	 */
	Timers timers(Timers timers) {
		return (delay, task) -> timers.schedule(delay, () -> execute(task));
	}

	/**
	 * Returns a store whose answers arrive on this thread.
	 * @param store answers elsewhere
	 * @return the store
	 */
	ObjectStore store(ObjectStore store) {
		return new Answering(store);
	}

	@Override
	public void close() {
		this.executor.shutdown();
		try {
			this.executor.awaitTermination(SECONDS_TO_END, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * A store whose answers arrive on the batch thread.
	 */
	private final class Answering implements ObjectStore {

		private final ObjectStore store;

		private Answering(ObjectStore store) {
			this.store = Objects.requireNonNull(store, "store is null");
		}

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			return here(this.store.read(key));
		}

		@Override
		public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
			return here(this.store.create(key, draft));
		}

		@Override
		public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
			return here(this.store.update(key, draft, expected));
		}

		@Override
		public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
			return here(this.store.delete(key, expected));
		}

		@Override
		public CompletableFuture<Listing> list(Kind kind, Labels selector) {
			return here(this.store.list(kind, selector));
		}

		@Override
		public Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended) {
			return this.store.watch(kind, selector, after, (event) -> execute(() -> events.accept(event)),
					() -> execute(ended));
		}

	}

}
