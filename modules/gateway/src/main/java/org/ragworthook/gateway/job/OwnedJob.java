package org.ragworthook.gateway.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A job as the process that may run it sees it.
 */
final class OwnedJob {

	private final Map<String, ItemRun> open = new LinkedHashMap<>();

	private final Set<String> listed = new HashSet<>();

	private final List<ItemOutcome> finished = new ArrayList<>();

	private Job job;

	private Phase phase = Phase.KNOWN;

	private int segments;

	private boolean writing;

	private boolean mayHaveResults;

	private long oldestFinishedNanos;

	/** When its results are due, Unix milliseconds. */
	private long dueMillis;

	/**
	 * Makes a job of which nothing was read.
	 * @param job the job
	 * @param mayHaveResults whether some process may have listed results of it
	 */
	OwnedJob(Job job, boolean mayHaveResults) {
		this.job = job;
		this.mayHaveResults = mayHaveResults;
	}

	/**
	 * Tells whether results have to be looked for before items are run. A job that was
	 * accepted a moment ago, and belongs to this process, has none; looking would be one
	 * of four store calls of a usual job. Should another process have run it all the
	 * same, the first writing of results meets a conflict, and they are read then.
	 * @return whether to look
	 */
	boolean mayHaveResults() {
		return this.mayHaveResults;
	}

	/**
	 * Learns that this process goes by what it knows now; from here on others may list
	 * results as well.
	 */
	void resultsKnown() {
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
	 * @return those that it has for sure, and the one that is being written
	 */
	int maxSegments() {
		return this.segments + (this.writing ? 1 : 0);
	}

	/**
	 * Takes in a segment of results that the store has. One can be seen twice: its
	 * writing is answered late, and it is read meanwhile.
	 * @param number the segment's number; only the next one is taken
	 * @param outcomes the results
	 */
	void listed(int number, List<ItemOutcome> outcomes) {
		if (number != this.segments) {
			return;
		}
		this.segments++;
		for (ItemOutcome outcome : outcomes) {
			this.listed.add(outcome.itemId());
			ItemRun run = this.open.remove(outcome.itemId());
			if (run != null) {
				run.stop();
			}
		}
		this.finished.removeIf((outcome) -> this.listed.contains(outcome.itemId()));
	}

	/**
	 * Begins with the items that are neither listed nor finished. A finished one whose
	 * result the store has not taken yet must not run again: going on from its saved
	 * progress it ends soon, and a caller reads it at two positions, as happened on one
	 * of 40 days.
	 */
	void open() {
		for (JobItem item : this.job.items()) {
			if (!ended(item.id()) && !this.open.containsKey(item.id())) {
				this.open.put(item.id(), new ItemRun(this.job, item));
			}
		}
	}

	private boolean ended(String itemId) {
		return this.listed.contains(itemId)
				|| this.finished.stream().anyMatch((outcome) -> outcome.itemId().equals(itemId));
	}

	/**
	 * Returns the items that are neither finished nor listed.
	 * @return the items, in the order of the job
	 */
	List<ItemRun> runs() {
		return List.copyOf(this.open.values());
	}

	int openCount() {
		return this.open.size();
	}

	/**
	 * Returns the tokens of the items that have not ended.
	 * @return those of all items while the job is not read
	 */
	long openTokens() {
		return (this.phase == Phase.READY) ? this.open.values().stream().mapToLong((run) -> run.item().tokens()).sum()
				: this.job.tokens();
	}

	/**
	 * Takes the outcome of an item, unless it has one.
	 * @param outcome how it ended
	 * @param nowNanos the ticker's reading
	 */
	void finish(ItemOutcome outcome, long nowNanos) {
		this.open.remove(outcome.itemId());
		if (ended(outcome.itemId())) {
			return;
		}
		if (this.finished.isEmpty()) {
			this.oldestFinishedNanos = nowNanos;
		}
		this.finished.add(outcome);
	}

	/**
	 * Returns a number that changes as items advance.
	 * @return events of open items, and how many items wait to be listed
	 */
	long advance() {
		return this.open.values().stream().mapToLong(ItemRun::lastEvent).sum() + this.finished.size();
	}

	/**
	 * Returns how far the items are that are not listed.
	 * @return the progress of those that have some
	 */
	List<ItemProgress> progress() {
		List<ItemProgress> items = new ArrayList<>();
		this.finished.stream()
			.filter(ItemOutcome::completed)
			.forEach((outcome) -> items.add(ItemProgress.whole(this.job.id(), outcome)));
		this.open.values().forEach((run) -> run.progress().ifPresent(items::add));
		return items;
	}

	/**
	 * Takes over how far an open item is.
	 * @param saved its progress as an earlier owner has saved it
	 * @param nowNanos the ticker's reading
	 */
	void goOnAfter(ItemProgress saved, long nowNanos) {
		ItemRun run = this.open.get(saved.itemId());
		if (saved.whole()) {
			if (run != null) {
				run.stop();
			}
			finish(new ItemOutcome(saved.itemId(), true, saved.output()), nowNanos);
		}
		else if (run != null) {
			run.goOnAfter(saved);
		}
	}

	/**
	 * Returns the outcomes that are not in the store, as many as one segment takes.
	 * @return the outcomes, oldest first
	 */
	List<ItemOutcome> unlisted() {
		List<ItemOutcome> batch = new ArrayList<>();
		int chars = 0;
		for (ItemOutcome outcome : this.finished) {
			chars += outcome.output().length();
			if (!batch.isEmpty() && chars > JobStore.CHUNK_CHARS) {
				break;
			}
			batch.add(outcome);
		}
		return batch;
	}

	long dueMillis() {
		return this.dueMillis;
	}

	void dueMillis(long due) {
		this.dueMillis = due;
	}

	long oldestFinishedNanos() {
		return this.oldestFinishedNanos;
	}

	boolean hasFinished() {
		return !this.finished.isEmpty();
	}

	boolean complete() {
		return this.listed.size() >= this.job.itemCount();
	}

	boolean writing() {
		return this.writing;
	}

	void writing(boolean now) {
		this.writing = now;
	}

	void stopRuns() {
		this.open.values().forEach(ItemRun::stop);
	}

	/**
	 * How far a process is with a job.
	 */
	enum Phase {

		/** Known, its results not read. */
		KNOWN,

		/** Its items and results are being read. */
		READING,

		/** Read; its items may be run. */
		READY,

		/** Nothing is left to do. */
		DONE

	}

}
