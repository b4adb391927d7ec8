package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Timers;

/**
 * Keeps an {@link ActiveContract} up to date with the object store: lists the newest
 * revision, watches from the version of that listing, and lists again when the watch
 * ends.
 * <p>
 * A watch can also stall without ending, which would leave the process on an outdated
 * contract, so it lists periodically as well. Delays are jittered so that entries do not
 * all reconnect at once after an outage.
 */
public final class ContractWatch implements AutoCloseable {

	/** Maximum interval between two listings while a watch is open. */
	public static final Duration MAX_RELIST_INTERVAL = Duration.ofSeconds(60);

	private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);

	private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

	private final ObjectStore store;

	private final ActiveContract active;

	private final Timers timers;

	private final RandomGenerator random;

	private final Executor executor;

	private final RevisionReader revisions;

	private final Consumer<Throwable> failureHandler;

	private final AtomicLong generation = new AtomicLong();

	private ObjectStore.Watch watch;

	private Duration retryDelay = INITIAL_RETRY_DELAY;

	private boolean closed;

	private ContractWatch(ObjectStore store, ActiveContract active, Timers timers, RandomGenerator random,
			Executor executor, Consumer<Throwable> failureHandler) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.active = Objects.requireNonNull(active, "active is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.random = Objects.requireNonNull(random, "random is null");
		this.executor = Objects.requireNonNull(executor, "executor is null");
		this.revisions = RevisionReader.of(store);
		this.failureHandler = Objects.requireNonNull(failureHandler, "failureHandler is null");
	}

	/**
	 * Starts to follow the newest revision.
	 * @param store the object store
	 * @param active the active contract to update
	 * @param timers schedules listings
	 * @param random the source of jitter
	 * @param executor parses contracts; must not be an event loop, since a large contract
	 * takes several milliseconds
	 * @param failureHandler called for failed listings and for revisions that cannot be
	 * read or parsed
	 * @return the watch, which runs until it is closed
	 */
	public static ContractWatch start(ObjectStore store, ActiveContract active, Timers timers, RandomGenerator random,
			Executor executor, Consumer<Throwable> failureHandler) {
		ContractWatch created = new ContractWatch(store, active, timers, random, executor, failureHandler);
		created.list(created.generation.incrementAndGet());
		return created;
	}

	private void list(long current) {
		if (isStale(current)) {
			return;
		}
		this.store.list(Kind.CONFIG, ContractRepository.NEWEST_LABELS).whenComplete((listing, failure) -> {
			if (failure != null) {
				this.failureHandler.accept(failure);
				scheduleListing(current, nextRetryDelay());
			}
			else {
				openWatch(current, listing);
			}
		});
	}

	private void openWatch(long current, Listing listing) {
		listing.objects().forEach((object) -> restoreIfNewest(current, object));
		ObjectStore.Watch opened = this.store.watch(Kind.CONFIG, ContractRepository.NEWEST_LABELS, listing.version(),
				(event) -> {
					resetRetryDelay();
					if (!event.gone()) {
						restoreIfNewest(current, event.object());
					}
				}, () -> scheduleListing(current, nextRetryDelay()));
		if (!replaceWatch(current, opened)) {
			opened.close();
			return;
		}
		this.timers.schedule(randomBetween(MAX_RELIST_INTERVAL.dividedBy(2), MAX_RELIST_INTERVAL), () -> {
			resetRetryDelay();
			scheduleListing(current, Duration.ZERO);
		});
	}

	private void restoreIfNewest(long current, Stored object) {
		if (ContractRepository.NEWEST.equals(object.key())) {
			this.executor.execute(() -> restore(current, object));
		}
	}

	// Lists again after a failed restore: otherwise a revision that could not be read
	// completely would stay inactive until the next change.
	private void restore(long current, Stored object) {
		try {
			this.revisions.restore(RevisionCodec.parseHeader(object.text()))
				.thenAcceptAsync(this.active::offer, this.executor)
				.whenComplete((done, failure) -> {
					if (failure != null) {
						this.failureHandler.accept(failure);
						scheduleListing(current, nextRetryDelay());
					}
				});
		}
		catch (ConfigException ex) {
			this.failureHandler.accept(ex);
		}
	}

	private void scheduleListing(long current, Duration delay) {
		if (this.generation.compareAndSet(current, current + 1)) {
			this.timers.schedule(delay, () -> list(current + 1));
		}
	}

	private boolean isStale(long current) {
		return this.generation.get() != current;
	}

	private synchronized boolean replaceWatch(long current, ObjectStore.Watch opened) {
		if (this.closed || isStale(current)) {
			return false;
		}
		if (this.watch != null) {
			this.watch.close();
		}
		this.watch = opened;
		return true;
	}

	private synchronized Duration nextRetryDelay() {
		Duration delay = randomBetween(this.retryDelay.dividedBy(2), this.retryDelay);
		Duration doubled = this.retryDelay.multipliedBy(2);
		this.retryDelay = (doubled.compareTo(MAX_RETRY_DELAY) < 0) ? doubled : MAX_RETRY_DELAY;
		return delay;
	}

	private synchronized void resetRetryDelay() {
		this.retryDelay = INITIAL_RETRY_DELAY;
	}

	private Duration randomBetween(Duration min, Duration max) {
		return Duration.ofNanos(this.random.nextLong(min.toNanos(), max.toNanos() + 1));
	}

	@Override
	public void close() {
		this.generation.incrementAndGet();
		synchronized (this) {
			this.closed = true;
			if (this.watch != null) {
				this.watch.close();
			}
		}
	}

}
