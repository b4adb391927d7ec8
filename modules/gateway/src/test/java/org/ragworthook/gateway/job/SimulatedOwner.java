package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.ragworthook.core.time.Ticker;

/**
 * A process that runs one job, without a network and a store, for tests of the reports on
 * published results.
 */
public final class SimulatedOwner {

	private final ResultAuthority authority;

	private final OwnedJob job;

	/**
	 * Creates an owner that has read nothing.
	 * @param jobId the job's id
	 * @param ticker the monotonic clock
	 * @param pauseCount how often the process has been paused
	 * @param liveRunners the incarnations of processes that it hears from
	 */
	public SimulatedOwner(String jobId, Ticker ticker, IntSupplier pauseCount, Supplier<Set<String>> liveRunners) {
		this.authority = new ResultAuthority(ticker, pauseCount, liveRunners);
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		this.job = new OwnedJob(new Job(jobId, Optional.empty(), "h", "/p", 0, 1, 1_000, 0, 1, false, List.of(item)),
				true);
	}

	/**
	 * Returns what the process reports.
	 * @return the published results
	 */
	public List<PublishedResults> publishedResults() {
		this.authority.refresh();
		return this.authority.publishedResults(this.job).stream().toList();
	}

	public boolean ready() {
		return this.job.phase() == OwnedJob.Phase.READY;
	}

	public boolean writing() {
		return this.job.writing();
	}

	public int segments() {
		return this.job.segments();
	}

	/**
	 * Called when all existing segments have been read.
	 * @param segments their number
	 */
	public void onSegmentsRead(int segments) {
		while (this.job.segments() < segments) {
			this.job.addSegment(this.job.segments(), List.of());
		}
		this.authority.revoke(this.job.job().id());
		this.job.phase(OwnedJob.Phase.READY);
	}

	/**
	 * Begins to write the next segment.
	 */
	public void beginWrite() {
		this.job.writing(true);
		this.authority.onWriteStarted(this.job.job().id());
	}

	/**
	 * Ends the write in progress.
	 * @param written whether it is known to have met no conflict
	 */
	public void endWrite(boolean written) {
		this.job.writing(false);
		if (written) {
			this.job.addSegment(this.job.segments(), List.of());
			this.authority.onWritten(this.job.job().id());
		}
		else {
			this.authority.revoke(this.job.job().id());
			release();
		}
	}

	/**
	 * Releases the job to another process.
	 */
	public void release() {
		this.job.phase(OwnedJob.Phase.NOT_LOADED);
	}

}
