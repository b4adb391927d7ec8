package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.ragworthook.core.time.Ticker;

/**
 * Decides of which jobs this process may say that nobody has listed more than it knows.
 * <p>
 * Entries believe it instead of asking the store. If another process had listed results
 * unseen, an entry would deny a position that a caller was shown before by another entry.
 * That comes about when a process was paused, or cut off, and its jobs were run by others
 * meanwhile, or when the store carries out a write of an earlier owner seconds after the
 * new one has read that there is nothing. So a job is spoken for if it was accepted a
 * moment ago and nobody has run it, or after a write of this process that met no
 * conflict: whatever others had on the way before has that number, and will meet one. And
 * only as long as this process was not paused and hears the same processes as then. Used
 * on the event loop.
 */
final class ListingClaims {

	/**
	 * For how long a process tells of a segment that it wrote, though the job is another
	 * one's by now: until the write has long ended and the other has met it.
	 */
	static final Duration OWN_WRITES = Duration.ofSeconds(30);

	/**
	 * How long a new job may have been in the store before this process saw it: the
	 * longest pause between two looks for jobs, and some more. If the processes have
	 * changed in that time, the owner before may have run the job and listed results.
	 */
	static final Duration SEEN_AFTER = Duration.ofSeconds(2);

	private final Ticker ticker;

	private final IntSupplier pauses;

	private final Supplier<Set<String>> processes;

	private final Set<String> claims = new HashSet<>();

	private final Map<String, Long> lastWrites = new HashMap<>();

	private Surroundings surroundings;

	private long changedNanos;

	/**
	 * Makes claims of no job.
	 * @param ticker the time
	 * @param pauses how often this process was paused so far
	 * @param processes the runs of processes that this one hears and that may own jobs
	 */
	ListingClaims(Ticker ticker, IntSupplier pauses, Supplier<Set<String>> processes) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.pauses = Objects.requireNonNull(pauses, "pauses is null");
		this.processes = Objects.requireNonNull(processes, "processes is null");
		this.surroundings = new Surroundings(0, Set.of());
		this.changedNanos = ticker.nanos();
	}

	/**
	 * Looks at what this process hears; to be called before claims are told.
	 */
	void look() {
		Surroundings now = new Surroundings(this.pauses.getAsInt(), this.processes.get());
		if (!now.equals(this.surroundings)) {
			this.surroundings = now;
			this.changedNanos = this.ticker.nanos();
			this.claims.clear();
		}
		long old = this.ticker.nanos() - OWN_WRITES.toNanos();
		this.lastWrites.values().removeIf((written) -> written - old < 0);
	}

	/**
	 * Learns of a job that was accepted a moment ago and that belongs to this process.
	 * @param jobId the job
	 */
	void accepted(String jobId) {
		look();
		if (this.ticker.nanos() - this.changedNanos >= SEEN_AFTER.toNanos()) {
			this.claims.add(jobId);
		}
	}

	/**
	 * Learns that a segment is about to be written.
	 * @param jobId the job
	 */
	void writing(String jobId) {
		this.lastWrites.put(jobId, this.ticker.nanos());
	}

	/**
	 * Learns that a segment was written and met no other.
	 * @param jobId the job
	 */
	void written(String jobId) {
		this.claims.add(jobId);
	}

	/**
	 * Learns that a job is done, that others may have listed results of it, or that the
	 * outcome of a write is unknown.
	 * @param jobId the job
	 */
	void forget(String jobId) {
		this.claims.remove(jobId);
	}

	/**
	 * Returns what is to be told of a job.
	 * @param job the job
	 * @return the listing, or empty if there is nothing to tell
	 */
	Optional<PublishedResults> listing(OwnedJob job) {
		String id = job.job().id();
		boolean all = job.phase() == OwnedJob.Phase.READY && this.claims.contains(id);
		if (!all && !this.lastWrites.containsKey(id)) {
			return Optional.empty();
		}
		return Optional.of(new PublishedResults(id, job.job().itemCount(), job.maxSegments(), all));
	}

	/**
	 * What may let others list unseen when it changes.
	 *
	 * @param pauses how often this process was paused
	 * @param processes the runs of processes that are heard
	 */
	private record Surroundings(int pauses, Set<String> processes) {
	}

}
