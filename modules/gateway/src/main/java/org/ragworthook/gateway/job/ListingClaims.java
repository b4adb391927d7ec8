package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.HashMap;
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
 * meanwhile. So what was read or written of a job counts only as long as this process was
 * not paused and hears the same processes as then; the next writing that meets no
 * conflict shows that nobody else has written, and it counts again. Used on the event
 * loop.
 */
final class ListingClaims {

	/**
	 * How long a write of an earlier owner may be on its way to the store after that
	 * owner is gone: twice the time after which its calls are given up, and some more.
	 */
	static final Duration OTHERS_WRITES = Duration.ofSeconds(5);

	/**
	 * For how long a process tells of a segment that it wrote, though the job is another
	 * one's by now: until the write has long ended and the other has met it.
	 */
	static final Duration OWN_WRITES = Duration.ofSeconds(30);

	private final Ticker ticker;

	private final IntSupplier pauses;

	private final Supplier<Set<String>> processes;

	private final Map<String, Claim> claims = new HashMap<>();

	private final Map<String, Long> lastWrites = new HashMap<>();

	private Surroundings surroundings;

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
	}

	/**
	 * Looks at what this process hears; to be called before claims are told.
	 */
	void look() {
		Surroundings now = new Surroundings(this.pauses.getAsInt(), this.processes.get());
		if (!now.equals(this.surroundings)) {
			this.surroundings = now;
			this.claims.clear();
		}
		long old = this.ticker.nanos() - OWN_WRITES.toNanos();
		this.lastWrites.values().removeIf((written) -> written - old < 0);
	}

	/**
	 * Learns that the listing of a job was read to its end.
	 * @param jobId the job
	 * @param othersBefore whether another process may have run the job before
	 */
	void read(String jobId, boolean othersBefore) {
		long wait = othersBefore ? OTHERS_WRITES.toNanos() : 0;
		this.claims.put(jobId, new Claim(this.ticker.nanos() + wait));
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
		this.claims.putIfAbsent(jobId, new Claim(this.ticker.nanos()));
	}

	/**
	 * Forgets what was read of a job.
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
	Optional<ResultListing> listing(OwnedJob job) {
		String id = job.job().id();
		Claim claim = this.claims.get(id);
		boolean all = job.phase() == OwnedJob.Phase.READY && claim != null
				&& this.ticker.nanos() - claim.fromNanos >= 0;
		if (!all && !this.lastWrites.containsKey(id)) {
			return Optional.empty();
		}
		return Optional.of(new ResultListing(id, job.job().itemCount(), job.segmentsAtMost(), all));
	}

	/**
	 * What may let others list unseen when it changes.
	 *
	 * @param pauses how often this process was paused
	 * @param processes the runs of processes that are heard
	 */
	private record Surroundings(int pauses, Set<String> processes) {
	}

	/**
	 * What was read or written of a job.
	 *
	 * @param fromNanos from when on it may be told, the ticker's reading
	 */
	private record Claim(long fromNanos) {
	}

}
