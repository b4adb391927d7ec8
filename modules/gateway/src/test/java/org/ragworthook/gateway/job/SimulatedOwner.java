package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.ragworthook.core.time.Ticker;

/**
 * What one process that runs jobs knows of the listing of one job, for plays without a
 * network and a store.
 */
public final class SimulatedOwner {

	private final ListingClaims claims;

	private final OwnedJob job;

	/**
	 * Makes an owner that has read nothing.
	 * @param jobId the job
	 * @param ticker the time
	 * @param pauses how often the process was paused
	 * @param processes what it hears
	 */
	public SimulatedOwner(String jobId, Ticker ticker, IntSupplier pauses, Supplier<Set<String>> processes) {
		this.claims = new ListingClaims(ticker, pauses, processes);
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		this.job = new OwnedJob(new Job(jobId, Optional.empty(), "h", "/p", 0, 1, 1_000, 0, 1, false, List.of(item)),
				true);
	}

	/**
	 * Returns what the process tells.
	 * @return the listings
	 */
	public List<PublishedResults> publishedResults() {
		this.claims.look();
		return this.claims.listing(this.job).stream().toList();
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
	 * Has read all segments that there are.
	 * @param segments their number
	 */
	public void onSegmentsRead(int segments) {
		while (this.job.segments() < segments) {
			this.job.listed(this.job.segments(), List.of());
		}
		this.claims.forget(this.job.job().id());
		this.job.phase(OwnedJob.Phase.READY);
	}

	/**
	 * Begins to write the next segment.
	 */
	public void beginWrite() {
		this.job.writing(true);
		this.claims.writing(this.job.job().id());
	}

	/**
	 * Learns how a write ended.
	 * @param written whether it is known to have met no other
	 */
	public void endWrite(boolean written) {
		this.job.writing(false);
		if (written) {
			this.job.listed(this.job.segments(), List.of());
			this.claims.written(this.job.job().id());
		}
		else {
			this.claims.forget(this.job.job().id());
			release();
		}
	}

	/**
	 * Leaves the job to another process.
	 */
	public void release() {
		this.job.phase(OwnedJob.Phase.KNOWN);
	}

}
