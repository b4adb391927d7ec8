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
 * A job while an owner works on it. Used by one thread at a time.
 */
final class JobRun {

	private final JobId id;

	private final Map<Integer, ChunkRun> open = new TreeMap<>();

	private final Set<Integer> opening = new HashSet<>();

	private Stored stored;

	private JobRecord record;

	private ChunkSet done;

	private JobCounts counts;

	private int next;

	private double urgency = 1;

	private long expectedMillis;

	private long progressNanos;

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

	void adopt(Stored newer, JobRecord content) {
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
		this.open.remove(chunk);
	}

	boolean allDone() {
		return this.done.size() == this.record.chunks();
	}

	int remaining() {
		return this.record.items() - this.counts.ended();
	}

	// -- chunks

	List<ChunkRun> chunks() {
		return new ArrayList<>(this.open.values());
	}

	int openCount() {
		return this.open.size() + this.opening.size();
	}

	int readyCount() {
		int ready = 0;
		for (ChunkRun chunk : this.open.values()) {
			ready += chunk.readyCount();
		}
		return ready;
	}

	OptionalInt nextChunk() {
		while (this.next < this.record.chunks() && taken(this.next)) {
			this.next++;
		}
		return (this.next < this.record.chunks()) ? OptionalInt.of(this.next) : OptionalInt.empty();
	}

	private boolean taken(int chunk) {
		return this.done.contains(chunk) || this.open.containsKey(chunk) || this.opening.contains(chunk);
	}

	List<Integer> maybeClaimed() {
		List<Integer> chunks = new ArrayList<>();
		for (int chunk = 0; chunk < this.record.reserved(); chunk++) {
			if (!taken(chunk)) {
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

	void notOpened(int chunk) {
		this.opening.remove(chunk);
		this.next = Math.min(this.next, chunk);
	}

	void add(ChunkRun chunk) {
		this.open.put(chunk.number(), chunk);
	}

	void drop(ChunkRun chunk) {
		chunk.close();
		this.open.remove(chunk.number(), chunk);
		this.next = Math.min(this.next, chunk.number());
	}

	boolean hasReady(ToIntFunction<String> room) {
		for (ChunkRun chunk : this.open.values()) {
			if (chunk.hasReady(room)) {
				return true;
			}
		}
		return false;
	}

	boolean served(Predicate<String> serves) {
		return this.record.models().isEmpty() || this.record.models().stream().anyMatch(serves);
	}

	boolean busy() {
		return !this.opening.isEmpty() || this.writing || this.open.values().stream().anyMatch(ChunkRun::busy);
	}

	// -- pace

	double urgency() {
		return this.urgency;
	}

	long expectedMillis() {
		return this.expectedMillis;
	}

	void pace(long now, long expected) {
		this.expectedMillis = expected;
		this.urgency = Urgency.of(now, expected, this.record.dueMillis());
	}

	boolean lateChanged() {
		boolean late = this.expectedMillis > this.record.dueMillis();
		return this.expectedMillis > 0 && late != this.record.late();
	}

	long progressNanos() {
		return this.progressNanos;
	}

	void progressNanos(long now) {
		this.progressNanos = now;
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

	void writing(boolean now) {
		this.writing = now;
	}

	boolean closed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
		this.open.values().forEach(ChunkRun::close);
	}

}
