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
 * Keeps {@link ActiveContract} up with the platform: lists, watches from there, and lists
 * again whenever the watch ends.
 * <p>
 * A watch can also fall silent without ending. The process would then act by an old text
 * while its peers moved on, so it lists again from time to time as well. Delays are drawn
 * at random within their bounds, or all entries would come back at once after an outage.
 */
public final class ContractWatch implements AutoCloseable {

	/** Longest pause between two listings while a watch is open. */
	public static final Duration RELIST = Duration.ofSeconds(60);

	private static final Duration FIRST_RETRY = Duration.ofMillis(200);

	private static final Duration LAST_RETRY = Duration.ofSeconds(5);

	private final ObjectStore store;

	private final ActiveContract inForce;

	private final Timers timers;

	private final RandomGenerator random;

	private final Executor work;

	private final RevisionStore revisions;

	private final Consumer<Throwable> failures;

	private final AtomicLong round = new AtomicLong();

	private ObjectStore.Watch watch;

	private Duration retry = FIRST_RETRY;

	private boolean closed;

	private ContractWatch(ObjectStore store, ActiveContract inForce, Timers timers, RandomGenerator random,
			Executor work, Consumer<Throwable> failures) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.random = Objects.requireNonNull(random, "random is null");
		this.work = Objects.requireNonNull(work, "work is null");
		this.revisions = RevisionStore.of(store);
		this.failures = Objects.requireNonNull(failures, "failures is null");
	}

	/**
	 * Starts to watch.
	 * @param store the platform
	 * @param inForce what to keep up
	 * @param timers delays listings
	 * @param random draws delays
	 * @param work reads texts; a long one takes some milliseconds, which must not be an
	 * event loop's
	 * @param failures is told of listings that failed and of texts that cannot be read
	 * @return the watch, which goes on until it is closed
	 */
	public static ContractWatch start(ObjectStore store, ActiveContract inForce, Timers timers, RandomGenerator random,
			Executor work, Consumer<Throwable> failures) {
		ContractWatch started = new ContractWatch(store, inForce, timers, random, work, failures);
		started.list(started.round.incrementAndGet());
		return started;
	}

	private void list(long current) {
		if (isOver(current)) {
			return;
		}
		this.store.list(Kind.CONFIG, ContractRepository.NEWEST_LABELS).whenComplete((listing, failure) -> {
			if (failure != null) {
				this.failures.accept(failure);
				again(current, backOff());
			}
			else {
				follow(current, listing);
			}
		});
	}

	private void follow(long current, Listing listing) {
		listing.objects().forEach((object) -> take(current, object));
		ObjectStore.Watch opened = this.store.watch(Kind.CONFIG, ContractRepository.NEWEST_LABELS, listing.version(),
				(event) -> {
					recovered();
					if (!event.gone()) {
						take(current, event.object());
					}
				}, () -> again(current, backOff()));
		if (!replaceWatch(current, opened)) {
			opened.close();
			return;
		}
		this.timers.schedule(between(RELIST.dividedBy(2), RELIST), () -> {
			recovered();
			again(current, Duration.ZERO);
		});
	}

	private void take(long current, Stored object) {
		if (ContractRepository.NEWEST.equals(object.key())) {
			this.work.execute(() -> restore(current, object));
		}
	}

	// A text that cannot be put together, because a part of it could not be read, would
	// stay out of force until the next change; so the listing is repeated soon.
	private void restore(long current, Stored object) {
		try {
			this.revisions.restore(RevisionCodec.parseHead(object.text()))
				.thenAcceptAsync(this.inForce::offer, this.work)
				.whenComplete((done, failure) -> {
					if (failure != null) {
						this.failures.accept(failure);
						again(current, backOff());
					}
				});
		}
		catch (ConfigException ex) {
			this.failures.accept(ex);
		}
	}

	private void again(long current, Duration delay) {
		if (this.round.compareAndSet(current, current + 1)) {
			this.timers.schedule(delay, () -> list(current + 1));
		}
	}

	private boolean isOver(long current) {
		return this.round.get() != current;
	}

	private synchronized boolean replaceWatch(long current, ObjectStore.Watch opened) {
		if (this.closed || isOver(current)) {
			return false;
		}
		if (this.watch != null) {
			this.watch.close();
		}
		this.watch = opened;
		return true;
	}

	private synchronized Duration backOff() {
		Duration delay = between(this.retry.dividedBy(2), this.retry);
		Duration doubled = this.retry.multipliedBy(2);
		this.retry = (doubled.compareTo(LAST_RETRY) < 0) ? doubled : LAST_RETRY;
		return delay;
	}

	private synchronized void recovered() {
		this.retry = FIRST_RETRY;
	}

	private Duration between(Duration least, Duration most) {
		return Duration.ofNanos(this.random.nextLong(least.toNanos(), most.toNanos() + 1));
	}

	@Override
	public void close() {
		this.round.incrementAndGet();
		synchronized (this) {
			this.closed = true;
			if (this.watch != null) {
				this.watch.close();
			}
		}
	}

}
