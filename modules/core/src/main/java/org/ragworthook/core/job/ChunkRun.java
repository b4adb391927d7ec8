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
 * The items of a chunk while an owner runs them. Used by one thread at a time.
 */
final class ChunkRun {

	private static final int MAX_RESUMES = 200_000;

	private final JobRun job;

	private final int number;

	private final BatchItem[] items;

	private final State[] states;

	private final int[] sent;

	private final int[] failures;

	private final int[] crashesAlone;

	private final Set<Integer> suspects = new LinkedHashSet<>();

	private final Map<Integer, ResumePoint> resumes = new HashMap<>();

	private final Map<String, Deque<Integer>> ready = new LinkedHashMap<>();

	private final Set<Integer> started = new LinkedHashSet<>();

	private final List<Integer> starting = new ArrayList<>();

	private final List<ItemResult> fresh = new ArrayList<>();

	private Stored stored;

	private ResultRecord written;

	private int left;

	private int running;

	private Pending pending;

	private boolean writing;

	private boolean timed;

	private boolean closed;

	ChunkRun(JobRun job, int number, ChunkClaimer.Claimed claimed) {
		this.job = job;
		this.number = number;
		this.items = claimed.items().toArray(BatchItem[]::new);
		this.states = new State[this.items.length];
		this.sent = new int[this.items.length];
		this.failures = new int[this.items.length];
		this.crashesAlone = new int[this.items.length];
		this.stored = claimed.stored();
		this.written = claimed.record();
		Arrays.fill(this.states, State.WAITING);
		claimed.ended().forEach((index) -> this.states[index] = State.ENDED);
		this.written.head().resumes().forEach((resume) -> this.resumes.put(resume.index(), resume));
		this.left = this.items.length - claimed.ended().size();
		for (int index = 0; index < this.items.length; index++) {
			makeReady(index, false);
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

	ItemId name(int index) {
		return new ItemId(this.job.id(), this.number, index, this.items[index].customId());
	}

	void makeReady(int index, boolean first) {
		if (this.states[index] != State.WAITING && this.states[index] != State.RUNNING) {
			return;
		}
		this.states[index] = State.READY;
		Deque<Integer> queue = this.ready.computeIfAbsent(this.items[index].route(), (route) -> new ArrayDeque<>());
		if (first) {
			queue.addFirst(index);
		}
		else {
			queue.addLast(index);
		}
	}

	boolean hasReady(ToIntFunction<String> room) {
		return this.ready.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getValue().isEmpty() && room.applyAsInt(entry.getKey()) > 0);
	}

	int readyCount() {
		return this.ready.values().stream().mapToInt(Deque::size).sum();
	}

	Set<String> readyRoutes() {
		return this.ready.keySet();
	}

	OptionalInt nextReady(ToIntFunction<String> room) {
		for (Map.Entry<String, Deque<Integer>> entry : this.ready.entrySet()) {
			if (!entry.getValue().isEmpty() && room.applyAsInt(entry.getKey()) > 0) {
				int index = entry.getValue().poll();
				this.states[index] = State.WAITING;
				return OptionalInt.of(index);
			}
		}
		return OptionalInt.empty();
	}

	int nowRunning(int index) {
		this.states[index] = State.RUNNING;
		this.running++;
		return ++this.sent[index];
	}

	/**
	 * Takes note that an attempt is over.
	 * @param index the item
	 * @param attempt the attempt's number
	 * @return whether it was still waited for
	 */
	boolean returned(int index, int attempt) {
		if (this.closed || this.states[index] != State.RUNNING || this.sent[index] != attempt) {
			return false;
		}
		this.states[index] = State.WAITING;
		this.running--;
		return true;
	}

	int failed(int index) {
		return ++this.failures[index];
	}

	void suspect(int index) {
		this.suspects.add(index);
	}

	boolean suspected(int index) {
		return this.suspects.contains(index);
	}

	int crashedAlone(int index) {
		return ++this.crashesAlone[index];
	}

	void resumeFrom(ResumePoint resume) {
		this.resumes.put(resume.index(), resume);
	}

	Optional<ResumePoint> resume(int index) {
		return Optional.ofNullable(this.resumes.get(index));
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
		this.resumes.remove(index);
		this.fresh.add(result);
		this.left--;
	}

	List<Integer> open(boolean alsoRunning) {
		List<Integer> open = new ArrayList<>();
		for (int index = 0; index < this.states.length; index++) {
			boolean runs = this.states[index] == State.RUNNING;
			if (this.states[index] != State.ENDED && this.states[index] != State.STARTING && (alsoRunning || !runs)) {
				open.add(index);
			}
		}
		return open;
	}

	boolean runsOnce() {
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

	int left() {
		return this.left;
	}

	// -- items that may run only once

	void toStart(int index) {
		this.states[index] = State.STARTING;
		this.starting.add(index);
	}

	boolean isStarted(int index) {
		return this.started.contains(index);
	}

	int startingOn(String route) {
		return (int) this.starting.stream().filter((index) -> this.items[index].route().equals(route)).count();
	}

	// -- record

	boolean busy() {
		return this.writing || this.running > 0 || !this.starting.isEmpty() || !this.fresh.isEmpty();
	}

	boolean dirty() {
		return !this.fresh.isEmpty() || !this.starting.isEmpty();
	}

	boolean settled() {
		return this.left == 0 && !dirty() && !this.writing;
	}

	int freshCount() {
		return this.fresh.size();
	}

	boolean mustWrite(int checkpoints) {
		return !this.starting.isEmpty() || (dirty() && this.left == 0)
				|| this.fresh.size() >= Math.max(1, this.items.length / checkpoints);
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

	boolean timed() {
		return this.timed;
	}

	void timed(boolean set) {
		this.timed = set;
	}

	boolean closed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Begins a write of what has come since the last one. After one that failed it is the
	 * same again: the failed one may have taken effect, and is known by its text.
	 * @param epoch the owner's epoch
	 * @return what to write
	 */
	Pending begin(long epoch) {
		this.writing = true;
		if (this.pending == null) {
			this.pending = next(epoch);
		}
		return this.pending;
	}

	private Pending next(long epoch) {
		List<ItemResult> results = List.copyOf(this.fresh);
		List<Integer> starts = List.copyOf(this.starting);
		Set<Integer> open = new LinkedHashSet<>(this.started);
		open.addAll(starts);
		open.removeIf((index) -> this.states[index] == State.ENDED);
		ResultRecord.Head head = this.written.head().by(epoch).with(List.copyOf(open), resumesWithinBound());
		return new Pending(this.written.with(head).with(results), results.size(), starts);
	}

	private List<ResumePoint> resumesWithinBound() {
		List<ResumePoint> kept = new ArrayList<>();
		int length = 0;
		for (ResumePoint resume : this.resumes.values()) {
			length += resume.text().length();
			if (length <= MAX_RESUMES) {
				kept.add(resume);
			}
		}
		return kept;
	}

	/**
	 * Takes note that a write took effect.
	 * @param pending what was written
	 * @param object the object as it is now
	 * @param record its content
	 * @return the items that are recorded as started by it
	 */
	List<Integer> wrote(Pending pending, Stored object, ResultRecord record) {
		this.writing = false;
		this.pending = null;
		this.stored = object;
		this.written = record;
		this.fresh.subList(0, pending.results()).clear();
		this.starting.removeAll(pending.starts());
		this.started.addAll(pending.starts());
		pending.starts().forEach((index) -> this.states[index] = State.WAITING);
		return pending.starts();
	}

	void notWritten() {
		this.writing = false;
	}

	/**
	 * A write under way.
	 *
	 * @param record what is written
	 * @param results how many results are in it for the first time
	 * @param starts the items that are recorded as started by it
	 */
	record Pending(ResultRecord record, int results, List<Integer> starts) {
	}

	private enum State {

		WAITING, READY, STARTING, RUNNING, ENDED

	}

}
