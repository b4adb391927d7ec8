package org.ragworthook.gateway.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of a job in a process that may run it.
 */
final class OwnedJob {

	private final Map<String, ItemRun> openRuns = new LinkedHashMap<>();

	private final Set<String> published = new HashSet<>();

	private final List<ItemOutcome> unpublished = new ArrayList<>();

	private Job job;

	private Phase phase = Phase.NOT_LOADED;

	private int segments;

	private boolean writing;

	private boolean mayHaveResults;

	private long oldestUnpublishedNanos;

	/** When the results are due, Unix milliseconds. */
	private long dueMillis;

	/**
	 * Creates a job that is not loaded.
	 * @param job the job
	 * @param mayHaveResults whether some process may have published results of it
	 */
	OwnedJob(Job job, boolean mayHaveResults) {
		this.job = job;
		this.mayHaveResults = mayHaveResults;
	}

	/**
	 * Returns whether published results have to be read before items are run. A job that
	 * was accepted a moment ago, and belongs to this process, has none; reading them
	 * would be one of the four store calls of a typical job. Should another process have
	 * run it nevertheless, the first write of results meets a conflict, and they are read
	 * then.
	 * @return whether to read them
	 */
	boolean mayHaveResults() {
		return this.mayHaveResults;
	}

	/**
	 * Marks the job as one that may have published results. Called when this process
	 * starts to act on what it knows, since others may publish results from then on.
	 */
	void assumeResults() {
		this.mayHaveResults = true;
	}

	Job job() {
		return this.job;
	}

	void job(Job newer) {
		this.job = newer;
	}

	Phase phase() {
		return this.phase;
	}

	void phase(Phase next) {
		this.phase = next;
	}

	int segments() {
		return this.segments;
	}

	/**
	 * Returns how many segments the store may have from this process.
	 * @return the number of known segments, and the one that is being written
	 */
	int maxSegments() {
		return this.segments + (this.writing ? 1 : 0);
	}

	/**
	 * Adds a published segment. A segment can arrive twice: read from the store, and in
	 * the late answer to its write.
	 * @param number the segment's number; ignored unless it is the next one
	 * @param outcomes the results in the segment
	 */
	void addSegment(int number, List<ItemOutcome> outcomes) {
		if (number != this.segments) {
			return;
		}
		this.segments++;
		for (ItemOutcome outcome : outcomes) {
			this.published.add(outcome.itemId());
			ItemRun run = this.openRuns.remove(outcome.itemId());
			if (run != null) {
				run.stop();
			}
		}
		this.unpublished.removeIf((outcome) -> this.published.contains(outcome.itemId()));
	}

	/**
	 * Creates the runs of all items that are neither published nor finished. A finished
	 * item whose result is not stored yet must not run again: resumed from its saved
	 * progress it ends soon, and a caller reads it at two positions, as happened on one
	 * of 40 days.
	 */
	void openItems() {
		for (JobItem item : this.job.items()) {
			if (!hasOutcome(item.id()) && !this.openRuns.containsKey(item.id())) {
				this.openRuns.put(item.id(), new ItemRun(this.job, item));
			}
		}
	}

	private boolean hasOutcome(String itemId) {
		return this.published.contains(itemId)
				|| this.unpublished.stream().anyMatch((outcome) -> outcome.itemId().equals(itemId));
	}

	/**
	 * Returns the items that are neither finished nor published.
	 * @return the items, in the order of the job
	 */
	List<ItemRun> runs() {
		return List.copyOf(this.openRuns.values());
	}

	int openCount() {
		return this.openRuns.size();
	}

	/**
	 * Returns the tokens of the unfinished items.
	 * @return their tokens, or those of all items while the job is not loaded
	 */
	long openTokens() {
		return (this.phase == Phase.READY)
				? this.openRuns.values().stream().mapToLong((run) -> run.item().tokens()).sum() : this.job.tokens();
	}

	/**
	 * Records the outcome of an item, unless it has one.
	 * @param outcome the outcome
	 * @param nowNanos the ticker's reading
	 */
	void finish(ItemOutcome outcome, long nowNanos) {
		this.openRuns.remove(outcome.itemId());
		if (hasOutcome(outcome.itemId())) {
			return;
		}
		if (this.unpublished.isEmpty()) {
			this.oldestUnpublishedNanos = nowNanos;
		}
		this.unpublished.add(outcome);
	}

	/**
	 * Returns a number that changes when an item makes progress.
	 * @return the events of open items plus the number of unpublished outcomes
	 */
	long progressMarker() {
		return this.openRuns.values().stream().mapToLong(ItemRun::lastEvent).sum() + this.unpublished.size();
	}

	/**
	 * Returns the progress of the items that are not published.
	 * @return the progress of each item that has any
	 */
	List<ItemProgress> progress() {
		List<ItemProgress> items = new ArrayList<>();
		this.unpublished.stream()
			.filter(ItemOutcome::completed)
			.forEach((outcome) -> items.add(ItemProgress.completed(this.job.id(), outcome)));
		this.openRuns.values().forEach((run) -> run.progress().ifPresent(items::add));
		return items;
	}

	/**
	 * Resumes an open item from saved progress.
	 * @param saved the progress that an earlier owner has saved
	 * @param nowNanos the ticker's reading
	 */
	void resumeFrom(ItemProgress saved, long nowNanos) {
		ItemRun run = this.openRuns.get(saved.itemId());
		if (saved.complete()) {
			if (run != null) {
				run.stop();
			}
			finish(new ItemOutcome(saved.itemId(), true, saved.output()), nowNanos);
		}
		else if (run != null) {
			run.resumeFrom(saved);
		}
	}

	/**
	 * Returns the unpublished outcomes, as many as fit into one segment.
	 * @param maxBytes the maximum size of a segment with more than one outcome, in bytes
	 * @return the outcomes, oldest first
	 */
	List<ItemOutcome> nextSegment(long maxBytes) {
		List<ItemOutcome> segment = new ArrayList<>();
		long bytes = 0;
		for (ItemOutcome outcome : this.unpublished) {
			bytes += JobDocuments.maxSize(outcome);
			if (!segment.isEmpty() && bytes > maxBytes) {
				break;
			}
			segment.add(outcome);
		}
		return segment;
	}

	long dueMillis() {
		return this.dueMillis;
	}

	void dueMillis(long millis) {
		this.dueMillis = millis;
	}

	long oldestUnpublishedNanos() {
		return this.oldestUnpublishedNanos;
	}

	boolean hasUnpublished() {
		return !this.unpublished.isEmpty();
	}

	boolean allPublished() {
		return this.published.size() >= this.job.itemCount();
	}

	boolean writing() {
		return this.writing;
	}

	void writing(boolean inProgress) {
		this.writing = inProgress;
	}

	void stopRuns() {
		this.openRuns.values().forEach(ItemRun::stop);
	}

	/**
	 * The phase of a job in a process.
	 */
	enum Phase {

		/** Items and results are not read. */
		NOT_LOADED,

		/** Items and results are being read. */
		LOADING,

		/** Everything is read; items may be run. */
		READY,

		/** Nothing is left to do. */
		DONE

	}

}
