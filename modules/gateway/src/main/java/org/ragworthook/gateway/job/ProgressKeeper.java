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

	/** How far all items were when that was last saved. */
	private long savedAdvance;

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
	 * @param jobs the jobs of this process
	 * @param processes how many processes run jobs
	 */
	void round(List<OwnedJob> jobs, int processes) {
		Duration pause = PAUSE_PER_PROCESS.multipliedBy(processes);
		long wait = Math.max(LEAST_PAUSE.toNanos(), pause.toNanos());
		if (!this.writing.isDone() || this.ticker.nanos() - this.writtenNanos < wait) {
			return;
		}
		long advance = advance(jobs);
		if (advance > 0 && advance != this.savedAdvance) {
			write(jobs);
		}
	}

	/**
	 * Saves now.
	 * @param jobs the jobs of this process
	 * @return completes when it is saved or cannot be
	 */
	CompletableFuture<Void> save(List<OwnedJob> jobs) {
		if (advance(jobs) == 0) {
			return CompletableFuture.completedFuture(null);
		}
		return this.writing.thenCompose((done) -> write(jobs))
			.completeOnTimeout(null, STOP.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static long advance(List<OwnedJob> jobs) {
		return jobs.stream().mapToLong(OwnedJob::advance).sum();
	}

	private CompletableFuture<Void> write(List<OwnedJob> jobs) {
		long advance = advance(jobs);
		List<ItemProgress> items = most(jobs);
		this.writtenNanos = this.ticker.nanos();
		this.writing = this.store.write(items).handleAsync((done, failure) -> {
			if (failure == null) {
				this.savedAdvance = advance;
				LOG.debug("progress_saved", "items", items.size());
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
	 * @param jobs the jobs of this process
	 * @return how far their items are, the furthest first, as much as one object takes
	 */
	private static List<ItemProgress> most(List<OwnedJob> jobs) {
		List<ItemProgress> items = new ArrayList<>();
		int chars = 0;
		for (ItemProgress item : jobs.stream()
			.flatMap((job) -> job.progress().stream())
			.sorted(Comparator.comparingLong(ItemProgress::lastEvent).reversed())
			.toList()) {
			chars += item.output().length();
			if (chars > MOST_CHARS) {
				break;
			}
			items.add(item);
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
