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

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
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

	/**
	 * The greatest age of a read by which a result is denied. A result that one entry has
	 * shown must not be missing in the answer of another more than a second later; 200 ms
	 * are left for the transmission.
	 */
	private static final Duration MAX_READ_AGE = Duration.ofMillis(800);

	private final JobStore store;

	private final PublishedResultsView published;

	private final Ticker ticker;

	private final Timers timers;

	private final Set<PendingRead> pendingReads = new LinkedHashSet<>();

	private final Map<String, CachedResults> cache = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedBytes;

	private JobReader(JobStore store, PublishedResultsView published, Ticker ticker, Timers timers) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.published = Objects.requireNonNull(published, "published is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Returns a reader with an empty cache.
	 * @param store the jobs
	 * @param published what the processes that run jobs report of published results
	 * @param ticker the monotonic clock
	 * @param timers runs tasks later, on the event loop
	 * @return the reader
	 */
	public static JobReader of(JobStore store, PublishedResultsView published, Ticker ticker, Timers timers) {
		return new JobReader(store, published, ticker, timers);
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
	 * {@link org.ragworthook.core.error.StoreException} if the store does not answer, or
	 * so late that another entry may have shown a result at the position
	 */
	public CompletableFuture<Optional<Page>> results(String jobId, int position, Duration wait) {
		long endNanos = this.ticker.nanos() + wait.toNanos();
		return cached(jobId)
			.thenCompose((found) -> found.map((cached) -> page(cached, position, endNanos).thenApply(Optional::of))
				.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty())));
	}

	private CompletableFuture<Page> page(CachedResults cached, int position, long endNanos) {
		Duration left = Duration.ofNanos(endNanos - this.ticker.nanos());
		if (left.isNegative() || left.isZero()) {
			return currentPage(cached, position);
		}
		return readUntil(cached, position).thenCompose((ready) -> {
			if (ready) {
				return CompletableFuture.completedFuture(cached.page(position));
			}
			PendingRead read = new PendingRead(cached, position);
			this.pendingReads.add(read);
			this.timers.schedule(Duration.ofNanos(endNanos - this.ticker.nanos()), read::waitOver);
			return read.answer;
		});
	}

	/**
	 * Reads results as of now. An answer without a result at the position must not rest
	 * on what was known earlier, since other entries show results as soon as they are
	 * published.
	 * @param cached the results read so far
	 * @param position the first position to read
	 * @return the results; fails if the store answers too late to deny a result
	 */
	private CompletableFuture<Page> currentPage(CachedResults cached, int position) {
		long startNanos = this.ticker.nanos();
		return readUntil(cached, position).thenApply((ready) -> {
			Duration age = Duration.ofNanos(this.ticker.nanos() - startNanos);
			if (!ready && age.compareTo(MAX_READ_AGE) > 0) {
				throw new StoreException(ErrorCode.STORE_UNAVAILABLE, "the store took " + age.toMillis()
						+ " ms to find no result at position " + position + " of job " + cached.jobId);
			}
			return cached.page(position);
		});
	}

	/**
	 * Reads segments until a position is reached.
	 * @param cached the results read so far
	 * @param position the position to reach
	 * @return whether there is a result at the position, or never will be one
	 */
	private CompletableFuture<Boolean> readUntil(CachedResults cached, int position) {
		return CompletableFuture.completedFuture(cached).thenCompose((present) -> readOn(present, position));
	}

	private CompletableFuture<Boolean> readOn(CachedResults cached, int position) {
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

		private final CompletableFuture<Page> answer = new CompletableFuture<>();

		private boolean reading;

		private boolean expired;

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
			if (!hasMore || this.reading || this.expired) {
				return;
			}
			this.reading = true;
			readUntil(this.cached, this.position).whenComplete((ready, failure) -> {
				this.reading = false;
				if (failure == null && ready) {
					JobReader.this.pendingReads.remove(this);
					this.answer.complete(this.cached.page(this.position));
				}
				else if (this.expired) {
					answerNow();
				}
			});
		}

		/**
		 * Called at the end of the wait. A read in progress is awaited first, since it
		 * may find the result.
		 */
		void waitOver() {
			this.expired = true;
			if (!this.reading && !this.answer.isDone()) {
				answerNow();
			}
		}

		private void answerNow() {
			JobReader.this.pendingReads.remove(this);
			currentPage(this.cached, this.position).whenComplete((page, failure) -> {
				if (failure == null) {
					this.answer.complete(page);
				}
				else {
					this.answer.completeExceptionally(failure);
				}
			});
		}

	}

}
