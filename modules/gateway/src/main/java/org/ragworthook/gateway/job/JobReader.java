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
 * Reads jobs and their results for callers. What was read once never changes and is kept;
 * what is not known here is asked of the store, so that no process shows less than
 * another one has shown, unless the processes that run jobs tell for sure that there is
 * nothing yet. Used on the event loop.
 */
public final class JobReader {

	private static final EventLog LOG = EventLog.of(JobReader.class);

	/** Results of one answer, in characters; the calls allow a megabyte. */
	private static final int PAGE_CHARS = 700_000;

	/** Text of results that is kept for reading again, in characters. */
	private static final long KEPT_CHARS = 24_000_000;

	private final JobStore store;

	private final PublishedResultsView news;

	private final Timers timers;

	private final Set<WaitingRead> waiting = new LinkedHashSet<>();

	private final Map<String, View> views = new LinkedHashMap<>(16, 0.75f, true);

	private long keptChars;

	private JobReader(JobStore store, PublishedResultsView news, Timers timers) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.news = Objects.requireNonNull(news, "news is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
	}

	/**
	 * Returns a reader that has read nothing.
	 * @param store the jobs
	 * @param news what is told of results that are listed
	 * @param timers runs tasks later, on the event loop
	 * @return the reader
	 */
	public static JobReader of(JobStore store, PublishedResultsView news, Timers timers) {
		return new JobReader(store, news, timers);
	}

	/**
	 * Learns that there is news of listings. Callers that wait for a result which is
	 * listed now get it at once, and not when their wait is over.
	 */
	public void onResultsReported() {
		List.copyOf(this.waiting).forEach(WaitingRead::look);
	}

	/**
	 * Reads results.
	 * @param jobId the job
	 * @param position the first position wanted
	 * @param wait how long to wait for a result there
	 * @return the results, or empty if there is no such job; fails with a
	 * {@link org.ragworthook.core.error.StoreException} if that cannot be told now
	 */
	public CompletableFuture<Optional<Page>> results(String jobId, int position, Duration wait) {
		return view(jobId).thenCompose((found) -> {
			if (found.isEmpty()) {
				return CompletableFuture.completedFuture(Optional.<Page>empty());
			}
			View view = found.get();
			return more(view, position).thenCompose((ready) -> {
				if (ready || wait.isZero()) {
					return CompletableFuture.completedFuture(Optional.of(view.page(position)));
				}
				return later(view, position, wait);
			});
		});
	}

	private CompletableFuture<Optional<Page>> later(View view, int position, Duration wait) {
		WaitingRead read = new WaitingRead(view, position);
		this.waiting.add(read);
		this.timers.schedule(wait, read::end);
		return read.answer;
	}

	/**
	 * Reads on until a position is known.
	 * @param view the job as far as it was read
	 * @param position the position wanted
	 * @return whether there is a result there, or never will be
	 */
	private CompletableFuture<Boolean> more(View view, int position) {
		if (position < view.outcomes.size() || view.outcomes.size() >= view.itemCount) {
			return CompletableFuture.completedFuture(true);
		}
		if (this.news.authoritative(view.jobId).filter((told) -> told.maxSegments() <= view.segments).isPresent()) {
			return CompletableFuture.completedFuture(false);
		}
		int number = view.segments;
		return segment(view, position).thenCompose((segment) -> {
			if (segment.isEmpty()) {
				return CompletableFuture.completedFuture(false);
			}
			if (view.segments == number) {
				add(view, segment.get());
			}
			return more(view, position);
		});
	}

	/**
	 * Reads the next segment. A caller that asks for a later position was shown the
	 * results before it, so the segment is there.
	 * @param view the job as far as it was read
	 * @param position the position wanted
	 * @return the segment, or empty if there is none yet
	 */
	private CompletableFuture<Optional<List<ItemOutcome>>> segment(View view, int position) {
		return (position > view.outcomes.size()) ? this.store.olderSegment(view.jobId, view.segments)
				: this.store.segment(view.jobId, view.segments);
	}

	private void add(View view, List<ItemOutcome> segment) {
		view.outcomes.addAll(segment);
		view.segments++;
		long chars = segment.stream().mapToLong((outcome) -> outcome.output().length()).sum();
		view.chars += chars;
		this.keptChars += chars;
		LOG.info("results_read", "job", view.jobId, "segment", view.segments - 1, "listed", view.outcomes.size(),
				"total", view.itemCount);
		trim(view);
	}

	private void trim(View inUse) {
		var oldest = this.views.values().iterator();
		while (this.keptChars > KEPT_CHARS && oldest.hasNext()) {
			View view = oldest.next();
			if (view != inUse) {
				this.keptChars -= view.chars;
				oldest.remove();
			}
		}
	}

	private CompletableFuture<Optional<View>> view(String jobId) {
		View known = this.views.get(jobId);
		if (known != null) {
			return CompletableFuture.completedFuture(Optional.of(known));
		}
		Optional<PublishedResults> told = this.news.authoritative(jobId);
		if (told.isPresent()) {
			return CompletableFuture.completedFuture(Optional.of(view(jobId, told.get().itemCount())));
		}
		return this.store.readOlder(jobId).thenApply((found) -> {
			if (found.isEmpty()) {
				return Optional.<View>empty();
			}
			return Optional.of(view(jobId, found.get().itemCount()));
		});
	}

	private View view(String jobId, int itemCount) {
		return this.views.computeIfAbsent(jobId, (id) -> new View(id, itemCount));
	}

	/**
	 * Reads the body of an item.
	 * @param jobId the job
	 * @param itemId the item
	 * @return the body in base64, or empty if there is none; fails if that cannot be told
	 * now
	 */
	public CompletableFuture<Optional<String>> body(String jobId, String itemId) {
		return this.store.readOlder(jobId).thenCompose((found) -> {
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
	 * Results of a job from a position on.
	 *
	 * @param total how many items the job has
	 * @param position the position of the first result
	 * @param outcomes the results
	 */
	public record Page(int total, int position, List<ItemOutcome> outcomes) {
	}

	private static final class View {

		private final String jobId;

		private final int itemCount;

		private final List<ItemOutcome> outcomes = new ArrayList<>();

		private int segments;

		private long chars;

		View(String jobId, int itemCount) {
			this.jobId = jobId;
			this.itemCount = itemCount;
		}

		Page page(int position) {
			List<ItemOutcome> page = new ArrayList<>();
			int chars = 0;
			for (int at = position; at < this.outcomes.size(); at++) {
				ItemOutcome outcome = this.outcomes.get(at);
				chars += outcome.output().length();
				if (!page.isEmpty() && chars > PAGE_CHARS) {
					break;
				}
				page.add(outcome);
			}
			return new Page(this.itemCount, position, page);
		}

	}

	/**
	 * A read whose caller waits for a result.
	 */
	private final class WaitingRead {

		private final View view;

		private final int position;

		private final CompletableFuture<Optional<Page>> answer = new CompletableFuture<>();

		private boolean reading;

		WaitingRead(View view, int position) {
			this.view = view;
			this.position = position;
		}

		/**
		 * Reads on if news tells of more than was read.
		 */
		void look() {
			boolean more = JobReader.this.news.authoritative(this.view.jobId)
				.filter((told) -> told.maxSegments() > this.view.segments)
				.isPresent();
			if (!more || this.reading) {
				return;
			}
			this.reading = true;
			more(this.view, this.position).whenComplete((ready, failure) -> {
				this.reading = false;
				if (failure == null && ready) {
					end();
				}
			});
		}

		void end() {
			if (JobReader.this.waiting.remove(this)) {
				this.answer.complete(Optional.of(this.view.page(this.position)));
			}
		}

	}

}
