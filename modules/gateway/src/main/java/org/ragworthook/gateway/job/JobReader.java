package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;

/**
 * Reads jobs and their results for callers. Published results never change, so those once
 * read are cached. For anything else the store is read, so that no process shows fewer
 * results than another has already shown; the read is saved if the processes that run
 * jobs assert that there is nothing new. Used on the event loop.
 */
public final class JobReader {

	private static final EventLog LOG = EventLog.of(JobReader.class);

	/**
	 * Maximum size of a page with more than one result, in bytes of JSON; calls are
	 * limited to a megabyte.
	 */
	private static final long MAX_PAGE_BYTES = 700_000;

	/** Keys and quotes of a result in a page, at most. */
	private static final int RESULT_BYTES = 100;

	/** Maximum size of cached results, in bytes. */
	private static final long MAX_CACHED_BYTES = 24_000_000;

	private final JobStore store;

	private final PublishedResultsView published;

	private final Timers timers;

	private final Set<PendingRead> pendingReads = new LinkedHashSet<>();

	private final Map<String, CachedResults> cache = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedBytes;

	private JobReader(JobStore store, PublishedResultsView published, Timers timers) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.published = Objects.requireNonNull(published, "published is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Returns a reader with an empty cache.
	 * @param store the jobs
	 * @param published what the processes that run jobs report of published results
	 * @param timers runs tasks later, on the event loop
	 * @return the reader
	 */
	public static JobReader of(JobStore store, PublishedResultsView published, Timers timers) {
		return new JobReader(store, published, timers);
	}

	/**
	 * Called when reports of published results have arrived. Callers that wait for a
	 * result that is published by now get it at once instead of at the end of their wait.
	 */
	public void onResultsReported() {
		List.copyOf(this.pendingReads).forEach(PendingRead::readAgain);
	}

	/**
	 * Reads results.
	 * @param jobId the job's id
	 * @param position the first position to read
	 * @param wait how long to wait for a result at that position
	 * @return the results, or empty if there is no such job; fails with a
	 * {@link org.ragworthook.core.error.StoreException} if the store does not answer
	 */
	public CompletableFuture<Optional<Page>> results(String jobId, int position, Duration wait) {
		return cached(jobId).thenCompose((found) -> {
			if (found.isEmpty()) {
				return CompletableFuture.completedFuture(Optional.<Page>empty());
			}
			CachedResults cached = found.get();
			return readUntil(cached, position).thenCompose((ready) -> {
				if (ready || wait.isZero()) {
					return CompletableFuture.completedFuture(Optional.of(cached.page(position)));
				}
				return awaitResult(cached, position, wait);
			});
		});
	}

	private CompletableFuture<Optional<Page>> awaitResult(CachedResults cached, int position, Duration wait) {
		PendingRead read = new PendingRead(cached, position);
		this.pendingReads.add(read);
		this.timers.schedule(wait, read::waitOver);
		return read.answer;
	}

	/**
	 * Reads segments until a position is reached.
	 * @param cached the results read so far
	 * @param position the position to reach
	 * @return whether there is a result at the position, or never will be one
	 */
	private CompletableFuture<Boolean> readUntil(CachedResults cached, int position) {
		if (position < cached.outcomes.size() || cached.outcomes.size() >= cached.itemCount) {
			return CompletableFuture.completedFuture(true);
		}
		if (this.published.authoritative(cached.jobId)
			.filter((results) -> results.maxSegments() <= cached.segments)
			.isPresent()) {
			return CompletableFuture.completedFuture(false);
		}
		int number = cached.segments;
		return nextSegment(cached, position).thenCompose((segment) -> {
			if (segment.isEmpty()) {
				return CompletableFuture.completedFuture(false);
			}
			if (cached.segments == number) {
				addSegment(cached, segment.get());
			}
			return readUntil(cached, position);
		});
	}

	/**
	 * Reads the next segment. If the position lies beyond the cached results, the caller
	 * was shown the results before it, so that segment exists and may come from a
	 * possibly stale copy.
	 * @param cached the results read so far
	 * @param position the position to reach
	 * @return the segment, or empty if it is not written yet
	 */
	private CompletableFuture<Optional<List<ItemOutcome>>> nextSegment(CachedResults cached, int position) {
		return (position > cached.outcomes.size()) ? this.store.segmentPossiblyStale(cached.jobId, cached.segments)
				: this.store.segment(cached.jobId, cached.segments);
	}

	private void addSegment(CachedResults cached, List<ItemOutcome> segment) {
		cached.outcomes.addAll(segment);
		cached.segments++;
		long bytes = segment.stream().mapToLong(JobReader::size).sum();
		cached.bytes += bytes;
		this.cachedBytes += bytes;
		LOG.info("results_read", "job", cached.jobId, "segment", cached.segments - 1, "listed", cached.outcomes.size(),
				"total", cached.itemCount);
		evict(cached);
	}

	private static long size(ItemOutcome outcome) {
		return RESULT_BYTES + JsonSize.utf8(outcome.itemId()) + JsonSize.utf8(outcome.output());
	}

	private void evict(CachedResults retained) {
		var oldest = this.cache.values().iterator();
		while (this.cachedBytes > MAX_CACHED_BYTES && oldest.hasNext()) {
			CachedResults cached = oldest.next();
			if (cached != retained) {
				this.cachedBytes -= cached.bytes;
				oldest.remove();
			}
		}
	}

	private CompletableFuture<Optional<CachedResults>> cached(String jobId) {
		CachedResults known = this.cache.get(jobId);
		if (known != null) {
			return CompletableFuture.completedFuture(Optional.of(known));
		}
		Optional<PublishedResults> results = this.published.authoritative(jobId);
		if (results.isPresent()) {
			return CompletableFuture.completedFuture(Optional.of(cached(jobId, results.get().itemCount())));
		}
		return this.store.readPossiblyStale(jobId).thenApply((found) -> {
			if (found.isEmpty()) {
				return Optional.<CachedResults>empty();
			}
			return Optional.of(cached(jobId, found.get().itemCount()));
		});
	}

	private CachedResults cached(String jobId, int itemCount) {
		return this.cache.computeIfAbsent(jobId, (id) -> new CachedResults(id, itemCount));
	}

	/**
	 * Reads the request body of an item.
	 * @param jobId the job's id
	 * @param itemId the item's id
	 * @return the body in base64, or empty if there is no such item or the job has ended;
	 * fails if the store does not answer
	 */
	public CompletableFuture<Optional<String>> body(String jobId, String itemId) {
		return this.store.readPossiblyStale(jobId).thenCompose((found) -> {
			if (found.isEmpty() || found.get().ended()) {
				return CompletableFuture.completedFuture(Optional.<String>empty());
			}
			return this.store.withItems(found.get())
				.thenApply((job) -> job.items()
					.stream()
					.filter((item) -> item.id().equals(itemId))
					.findFirst()
					.map(JobItem::body));
		});
	}

	/**
	 * A range of a job's results.
	 *
	 * @param total the number of items of the job
	 * @param position the position of the first result
	 * @param outcomes the results
	 */
	public record Page(int total, int position, List<ItemOutcome> outcomes) {
	}

	private static final class CachedResults {

		private final String jobId;

		private final int itemCount;

		private final List<ItemOutcome> outcomes = new ArrayList<>();

		private int segments;

		private long bytes;

		CachedResults(String jobId, int itemCount) {
			this.jobId = jobId;
			this.itemCount = itemCount;
		}

		Page page(int position) {
			List<ItemOutcome> page = new ArrayList<>();
			long bytes = 0;
			for (int at = position; at < this.outcomes.size(); at++) {
				ItemOutcome outcome = this.outcomes.get(at);
				bytes += size(outcome);
				if (!page.isEmpty() && bytes > MAX_PAGE_BYTES) {
					break;
				}
				page.add(outcome);
			}
			return new Page(this.itemCount, position, page);
		}

	}

	/**
	 * A read that waits for a result.
	 */
	private final class PendingRead {

		private final CachedResults cached;

		private final int position;

		private final CompletableFuture<Optional<Page>> answer = new CompletableFuture<>();

		private boolean reading;

		private boolean expired;

		/** Why the last read failed, or empty if it succeeded. */
		private Optional<Throwable> lastFailure = Optional.empty();

		PendingRead(CachedResults cached, int position) {
			this.cached = cached;
			this.position = position;
		}

		/**
		 * Reads further segments if more are reported than were read.
		 */
		void readAgain() {
			boolean hasMore = JobReader.this.published.authoritative(this.cached.jobId)
				.filter((results) -> results.maxSegments() > this.cached.segments)
				.isPresent();
			if (!hasMore || this.reading) {
				return;
			}
			this.reading = true;
			readUntil(this.cached, this.position).whenComplete((ready, failure) -> {
				this.reading = false;
				this.lastFailure = Optional.ofNullable(failure);
				if (this.expired || (failure == null && ready)) {
					complete();
				}
			});
		}

		/**
		 * Called at the end of the wait. A read in progress decides on the answer:
		 * another entry may have shown what it will find.
		 */
		void waitOver() {
			this.expired = true;
			if (!this.reading) {
				complete();
			}
		}

		private void complete() {
			if (JobReader.this.pendingReads.remove(this)) {
				this.lastFailure.ifPresentOrElse(this.answer::completeExceptionally,
						() -> this.answer.complete(Optional.of(this.cached.page(this.position))));
			}
		}

	}

}
