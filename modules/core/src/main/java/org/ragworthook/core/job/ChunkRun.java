package org.ragworthook.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.ragworthook.core.store.Stored;

/**
 * The run state of a chunk's items at the shard owner, and the results that are not yet
 * written. Not thread-safe: used on the owner's serial executor.
 */
final class ChunkRun {

	private static final int MAX_RESUME_CHARS = 200_000;

	private final JobRun job;

	private final int number;

	private final BatchItem[] items;

	private final State[] states;

	private final int[] attempts;

	private final int[] failures;

	private final int[] isolatedCrashes;

	private final Set<Integer> suspects = new LinkedHashSet<>();

	private final Map<Integer, ResumePoint> resumePoints = new HashMap<>();

	private final Map<String, Deque<Integer>> ready = new LinkedHashMap<>();

	private final Set<Integer> started = new LinkedHashSet<>();

	private final List<Integer> starting = new ArrayList<>();

	private final List<ItemResult> unwritten = new ArrayList<>();

	private Stored stored;

	private ResultRecord written;

	private int remaining;

	private int running;

	private PendingWrite pending;

	private boolean writing;

	private boolean writeScheduled;

	private boolean closed;

	ChunkRun(JobRun job, int number, ChunkClaimer.Claimed claimed) {
		this.job = job;
		this.number = number;
		this.items = claimed.items().toArray(BatchItem[]::new);
		this.states = new State[this.items.length];
		this.attempts = new int[this.items.length];
		this.failures = new int[this.items.length];
		this.isolatedCrashes = new int[this.items.length];
		this.stored = claimed.stored();
		this.written = claimed.record();
		Arrays.fill(this.states, State.WAITING);
		claimed.ended().forEach((index) -> this.states[index] = State.ENDED);
		this.written.head().resumes().forEach((resume) -> this.resumePoints.put(resume.index(), resume));
		this.remaining = this.items.length - claimed.ended().size();
		for (int index = 0; index < this.items.length; index++) {
			enqueue(index, false);
		}
	}

	// -- items

	JobRun job() {
		return this.job;
	}

	int number() {
		return this.number;
	}

	BatchItem item(int index) {
		return this.items[index];
	}

	ItemId itemId(int index) {
		return new ItemId(this.job.id(), this.number, index, this.items[index].customId());
	}

	void enqueue(int index, boolean atFront) {
		if (this.states[index] != State.WAITING && this.states[index] != State.RUNNING) {
			return;
		}
		this.states[index] = State.READY;
		Deque<Integer> queue = this.ready.computeIfAbsent(this.items[index].route(), (route) -> new ArrayDeque<>());
		if (atFront) {
			queue.addFirst(index);
		}
		else {
			queue.addLast(index);
		}
	}

	boolean hasReady(ToIntFunction<String> freeSlots) {
		return this.ready.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().isEmpty() && freeSlots.applyAsInt(entry.getKey()) > 0);
	}

	int readyCount() {
		return this.ready.values().stream().mapToInt(Deque::size).sum();
	}

	Set<String> readyRoutes() {
		return this.ready.keySet();
	}

	OptionalInt pollReady(ToIntFunction<String> freeSlots) {
		for (Map.Entry<String, Deque<Integer>> entry : this.ready.entrySet()) {
			if (!entry.getValue().isEmpty() && freeSlots.applyAsInt(entry.getKey()) > 0) {
				int index = entry.getValue().poll();
				this.states[index] = State.WAITING;
				return OptionalInt.of(index);
			}
		}
		return OptionalInt.empty();
	}

	int markRunning(int index) {
		this.states[index] = State.RUNNING;
		this.running++;
		return ++this.attempts[index];
	}

	/**
	 * Called when an attempt has ended. Ignores attempts of a closed chunk, of an ended
	 * item, and all but the latest attempt.
	 * @param index the index of the item in the chunk
	 * @param attempt the number of the attempt, from 1
	 * @return whether the outcome of the attempt is to be handled
	 */
	boolean attemptEnded(int index, int attempt) {
		if (this.closed || this.states[index] != State.RUNNING || this.attempts[index] != attempt) {
			return false;
		}
		this.states[index] = State.WAITING;
		this.running--;
		return true;
	}

	int recordFailure(int index) {
		return ++this.failures[index];
	}

	void markSuspect(int index) {
		this.suspects.add(index);
	}

	boolean isSuspect(int index) {
		return this.suspects.contains(index);
	}

	int recordIsolatedCrash(int index) {
		return ++this.isolatedCrashes[index];
	}

	void saveResumePoint(ResumePoint resume) {
		this.resumePoints.put(resume.index(), resume);
	}

	Optional<ResumePoint> resumePoint(int index) {
		return Optional.ofNullable(this.resumePoints.get(index));
	}

	void end(ItemResult result) {
		int index = result.index();
		if (this.states[index] == State.ENDED) {
			return;
		}
		if (this.states[index] == State.RUNNING) {
			this.running--;
		}
		this.states[index] = State.ENDED;
		this.items[index] = null;
		this.resumePoints.remove(index);
		this.unwritten.add(result);
		this.remaining--;
	}

	List<Integer> unfinished(boolean includeRunning) {
		List<Integer> open = new ArrayList<>();
		for (int index = 0; index < this.states.length; index++) {
			boolean runs = this.states[index] == State.RUNNING;
			if (this.states[index] != State.ENDED && this.states[index] != State.STARTING
					&& (includeRunning || !runs)) {
				open.add(index);
			}
		}
		return open;
	}

	boolean hasRunningNonIdempotent() {
		for (int index = 0; index < this.states.length; index++) {
			if (this.states[index] == State.RUNNING && !this.items[index].idempotent()) {
				return true;
			}
		}
		return false;
	}

	void clearReady() {
		this.ready.clear();
	}

	int running() {
		return this.running;
	}

	int remaining() {
		return this.remaining;
	}

	// -- non-idempotent items

	void markStarting(int index) {
		this.states[index] = State.STARTING;
		this.starting.add(index);
	}

	boolean startRecorded(int index) {
		return this.started.contains(index);
	}

	int startingCount(String route) {
		return (int) this.starting.stream().filter((index) -> this.items[index].route().equals(route)).count();
	}

	// -- result record

	boolean busy() {
		return this.writing || this.running > 0 || !this.starting.isEmpty() || !this.unwritten.isEmpty();
	}

	boolean hasUnwritten() {
		return !this.unwritten.isEmpty() || !this.starting.isEmpty();
	}

	boolean complete() {
		return this.remaining == 0 && !hasUnwritten() && !this.writing;
	}

	int unwrittenCount() {
		return this.unwritten.size();
	}

	boolean writeDue(int checkpoints) {
		return !this.starting.isEmpty() || (hasUnwritten() && this.remaining == 0)
				|| this.unwritten.size() >= Math.max(1, this.items.length / checkpoints);
	}

	Stored stored() {
		return this.stored;
	}

	ResultRecord written() {
		return this.written;
	}

	boolean writing() {
		return this.writing;
	}

	boolean writeScheduled() {
		return this.writeScheduled;
	}

	void writeScheduled(boolean set) {
		this.writeScheduled = set;
	}

	boolean closed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Starts a write of all unwritten results and starts. After a failed write it returns
	 * the same content again: the failed write may have taken effect, and is then
	 * recognised by its text.
	 * @param epoch the owner's epoch
	 * @return the record to write
	 */
	PendingWrite beginWrite(long epoch) {
		this.writing = true;
		if (this.pending == null) {
			this.pending = nextWrite(epoch);
		}
		return this.pending;
	}

	private PendingWrite nextWrite(long epoch) {
		List<ItemResult> results = List.copyOf(this.unwritten);
		List<Integer> starts = List.copyOf(this.starting);
		Set<Integer> open = new LinkedHashSet<>(this.started);
		open.addAll(starts);
		open.removeIf((index) -> this.states[index] == State.ENDED);
		ResultRecord.Head head = this.written.head()
			.withEpoch(epoch)
			.withItems(List.copyOf(open), boundedResumePoints());
		return new PendingWrite(this.written.with(head).with(results), results.size(), starts);
	}

	private List<ResumePoint> boundedResumePoints() {
		List<ResumePoint> kept = new ArrayList<>();
		int length = 0;
		for (ResumePoint resume : this.resumePoints.values()) {
			length += resume.text().length();
			if (length <= MAX_RESUME_CHARS) {
				kept.add(resume);
			}
		}
		return kept;
	}

	/**
	 * Called when a write has taken effect.
	 * @param pending the write
	 * @param object the stored object, with its new version
	 * @param record the content of the object
	 * @return the indexes of the items whose start was recorded by this write
	 */
	List<Integer> writeSucceeded(PendingWrite pending, Stored object, ResultRecord record) {
		this.writing = false;
		this.pending = null;
		this.stored = object;
		this.written = record;
		this.unwritten.subList(0, pending.resultCount()).clear();
		this.starting.removeAll(pending.starts());
		this.started.addAll(pending.starts());
		pending.starts().forEach((index) -> this.states[index] = State.WAITING);
		return pending.starts();
	}

	void writeFailed() {
		this.writing = false;
	}

	/**
	 * A write in progress.
	 *
	 * @param record the content to write
	 * @param resultCount how many of its results have not been written before
	 * @param starts the indexes of the items whose start it records
	 */
	record PendingWrite(ResultRecord record, int resultCount, List<Integer> starts) {
	}

	private enum State {

		WAITING, READY, STARTING, RUNNING, ENDED

	}

}
