package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.ragworthook.core.store.Stored;

/**
 * The run state of a job at the shard owner. Not thread-safe: used on the owner's serial
 * executor.
 */
final class JobRun {

	private final JobId id;

	private final Map<Integer, ChunkRun> openChunks = new TreeMap<>();

	private final Set<Integer> opening = new HashSet<>();

	private Stored stored;

	private JobRecord record;

	private ChunkSet done;

	private JobCounts counts;

	private int nextCandidate;

	private double urgency = 1;

	private long expectedMillis;

	private long lastProgressNanos;

	private boolean cancelling;

	private boolean writing;

	private boolean closed;

	JobRun(Stored stored, JobRecord record) {
		this.id = record.id();
		this.stored = stored;
		this.record = record;
		this.done = record.done();
		this.counts = record.counts();
	}

	JobId id() {
		return this.id;
	}

	JobRecord record() {
		return this.record;
	}

	Stored stored() {
		return this.stored;
	}

	void update(Stored newer, JobRecord content) {
		this.stored = newer;
		this.record = content;
	}

	ChunkSet done() {
		return this.done;
	}

	JobCounts counts() {
		return this.counts;
	}

	void chunkDone(int chunk, JobCounts ended) {
		if (!this.done.contains(chunk)) {
			this.done = this.done.with(chunk);
			this.counts = this.counts.plus(ended);
		}
		this.openChunks.remove(chunk);
	}

	boolean allDone() {
		return this.done.size() == this.record.chunks();
	}

	int remaining() {
		return this.record.items() - this.counts.ended();
	}

	// -- chunks

	List<ChunkRun> chunks() {
		return new ArrayList<>(this.openChunks.values());
	}

	int openCount() {
		return this.openChunks.size() + this.opening.size();
	}

	int readyCount() {
		int ready = 0;
		for (ChunkRun chunk : this.openChunks.values()) {
			ready += chunk.readyCount();
		}
		return ready;
	}

	OptionalInt nextChunk() {
		while (this.nextCandidate < this.record.chunks() && doneOrOpen(this.nextCandidate)) {
			this.nextCandidate++;
		}
		return (this.nextCandidate < this.record.chunks()) ? OptionalInt.of(this.nextCandidate) : OptionalInt.empty();
	}

	private boolean doneOrOpen(int chunk) {
		return this.done.contains(chunk) || this.openChunks.containsKey(chunk) || this.opening.contains(chunk);
	}

	List<Integer> unopenedReserved() {
		List<Integer> chunks = new ArrayList<>();
		for (int chunk = 0; chunk < this.record.reserved(); chunk++) {
			if (!doneOrOpen(chunk)) {
				chunks.add(chunk);
			}
		}
		return chunks;
	}

	void opening(int chunk) {
		this.opening.add(chunk);
	}

	void opened(int chunk) {
		this.opening.remove(chunk);
	}

	void openFailed(int chunk) {
		this.opening.remove(chunk);
		this.nextCandidate = Math.min(this.nextCandidate, chunk);
	}

	void add(ChunkRun chunk) {
		this.openChunks.put(chunk.number(), chunk);
	}

	void drop(ChunkRun chunk) {
		chunk.close();
		this.openChunks.remove(chunk.number(), chunk);
		this.nextCandidate = Math.min(this.nextCandidate, chunk.number());
	}

	boolean hasReady(ToIntFunction<String> freeSlots) {
		for (ChunkRun chunk : this.openChunks.values()) {
			if (chunk.hasReady(freeSlots)) {
				return true;
			}
		}
		return false;
	}

	boolean served(Predicate<String> serves) {
		return this.record.models().isEmpty() || this.record.models().stream().anyMatch(serves);
	}

	boolean busy() {
		return !this.opening.isEmpty() || this.writing || this.openChunks.values().stream().anyMatch(ChunkRun::busy);
	}

	// -- expected end

	double urgency() {
		return this.urgency;
	}

	long expectedMillis() {
		return this.expectedMillis;
	}

	void expectEnd(long now, long expected) {
		this.expectedMillis = expected;
		this.urgency = Urgency.of(now, expected, this.record.dueMillis());
	}

	boolean lateChanged() {
		boolean late = this.expectedMillis > this.record.dueMillis();
		return this.expectedMillis > 0 && late != this.record.late();
	}

	long lastProgressNanos() {
		return this.lastProgressNanos;
	}

	void lastProgressNanos(long now) {
		this.lastProgressNanos = now;
	}

	// -- state

	boolean cancelling() {
		return this.cancelling;
	}

	void cancel() {
		this.cancelling = true;
	}

	boolean writing() {
		return this.writing;
	}

	void writing(boolean value) {
		this.writing = value;
	}

	boolean closed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
		this.openChunks.values().forEach(ChunkRun::close);
	}

}
