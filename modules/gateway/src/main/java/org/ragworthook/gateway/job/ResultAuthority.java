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
 * Decides for which jobs this process may assert that no segment exists beyond those that
 * it reports.
 * <p>
 * Entries rely on this assertion instead of reading the store. If another process had
 * published results unnoticed, an entry would deny a position that another entry has
 * already shown to a caller. This can happen when a process was paused or partitioned and
 * others ran its jobs meanwhile, or when the store applies a write of an earlier owner
 * seconds after the new owner has read that there is no such segment. So this process has
 * authority over a job if the job was accepted a moment ago and nobody has run it, or
 * after a write of its own that met no conflict: any write of another process still in
 * flight has the number of that segment and will meet a conflict. Authority is lost as
 * soon as this process was paused, or hears from a different set of processes. Used on
 * the event loop.
 */
final class ResultAuthority {

	/**
	 * How long a process reports a segment that it wrote, even if the job has another
	 * owner by then: long enough for the write to complete and for the other owner to
	 * have read the segment.
	 */
	static final Duration WRITE_REPORT_TIME = Duration.ofSeconds(30);

	/**
	 * How long a new job may be in the store before this process sees it: the longest
	 * delay between two polls for jobs, and a margin. If the set of processes changed
	 * within that time, a previous owner may have run the job and published results.
	 */
	static final Duration MAX_DISCOVERY_DELAY = Duration.ofSeconds(2);

	private final Ticker ticker;

	private final IntSupplier pauseCount;

	private final Supplier<Set<String>> liveRunners;

	private final Set<String> authoritativeJobs = new HashSet<>();

	private final Map<String, Long> lastWrites = new HashMap<>();

	private Conditions conditions;

	private long changedNanos;

	/**
	 * Creates an authority over no job.
	 * @param ticker the monotonic clock
	 * @param pauseCount how often this process has been paused so far
	 * @param liveRunners the incarnations of processes that may own jobs and that this
	 * process hears from
	 */
	ResultAuthority(Ticker ticker, IntSupplier pauseCount, Supplier<Set<String>> liveRunners) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.pauseCount = Objects.requireNonNull(pauseCount, "pauseCount is null");
		this.liveRunners = Objects.requireNonNull(liveRunners, "liveRunners is null");
		this.conditions = new Conditions(0, Set.of());
		this.changedNanos = ticker.nanos();
	}

	/**
	 * Revokes all authority if this process was paused or the set of processes has
	 * changed, and forgets writes that need no longer be reported; to be called before
	 * results are reported.
	 */
	void refresh() {
		Conditions now = new Conditions(this.pauseCount.getAsInt(), this.liveRunners.get());
		if (!now.equals(this.conditions)) {
			this.conditions = now;
			this.changedNanos = this.ticker.nanos();
			this.authoritativeJobs.clear();
		}
		long oldestNanos = this.ticker.nanos() - WRITE_REPORT_TIME.toNanos();
		this.lastWrites.values().removeIf((written) -> written - oldestNanos < 0);
	}

	/**
	 * Called when a job was accepted a moment ago and belongs to this process.
	 * @param jobId the job's id
	 */
	void onAccepted(String jobId) {
		refresh();
		if (this.ticker.nanos() - this.changedNanos >= MAX_DISCOVERY_DELAY.toNanos()) {
			this.authoritativeJobs.add(jobId);
		}
	}

	/**
	 * Called when a segment is about to be written.
	 * @param jobId the job's id
	 */
	void onWriteStarted(String jobId) {
		this.lastWrites.put(jobId, this.ticker.nanos());
	}

	/**
	 * Called when a segment was written without a conflict.
	 * @param jobId the job's id
	 */
	void onWritten(String jobId) {
		this.authoritativeJobs.add(jobId);
	}

	/**
	 * Revokes the authority over a job that is done, of which others may have published
	 * results, or that had a write with an unknown outcome.
	 * @param jobId the job's id
	 */
	void revoke(String jobId) {
		this.authoritativeJobs.remove(jobId);
	}

	/**
	 * Returns what this process reports of a job.
	 * @param job the job
	 * @return the published results, or empty if there is nothing to report
	 */
	Optional<PublishedResults> publishedResults(OwnedJob job) {
		String id = job.job().id();
		boolean authoritative = job.phase() == OwnedJob.Phase.READY && this.authoritativeJobs.contains(id);
		if (!authoritative && !this.lastWrites.containsKey(id)) {
			return Optional.empty();
		}
		return Optional.of(new PublishedResults(id, job.job().itemCount(), job.maxSegments(), authoritative));
	}

	/**
	 * The conditions under which others cannot publish results unnoticed as long as they
	 * stay the same.
	 *
	 * @param pauseCount how often this process has been paused
	 * @param liveRunners the incarnations of processes that this process hears from
	 */
	private record Conditions(int pauseCount, Set<String> liveRunners) {
	}

}
