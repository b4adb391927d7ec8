package org.ragworthook.gateway.job;

import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;

/**
 * Reads what an owner has to know before it runs a job: its items, which of them are
 * listed, and how far the others are. Used on the event loop.
 */
final class JobLoading {

	private static final EventLog LOG = EventLog.of(JobLoading.class);

	private final JobRunner.Dependencies parts;

	private final ProgressKeeper progress;

	private final ListingClaims claims;

	private final Runnable loaded;

	/**
	 * Makes what loads jobs.
	 * @param parts the store and the loop
	 * @param progress how far items are
	 * @param claims learns what was read
	 * @param loaded runs when a job is ready
	 */
	JobLoading(JobRunner.Dependencies parts, ProgressKeeper progress, ListingClaims claims, Runnable loaded) {
		this.parts = Objects.requireNonNull(parts, "parts is null");
		this.progress = Objects.requireNonNull(progress, "progress is null");
		this.claims = Objects.requireNonNull(claims, "claims is null");
		this.loaded = Objects.requireNonNull(loaded, "loaded is null");
	}

	/**
	 * Loads a job; it is ready when that has succeeded, or known again when it has not.
	 * @param job the job
	 */
	void load(OwnedJob job) {
		job.phase(OwnedJob.Phase.READING);
		this.parts.store().withItems(job.job()).thenAcceptAsync((whole) -> {
			if (!job.job().ended()) {
				job.job(whole);
			}
			if (job.mayHaveResults()) {
				segments(job);
			}
			else {
				job.resultsKnown();
				job.open();
				this.claims.accepted(job.job().id());
				ready(job);
			}
		}, this.parts.loop()).exceptionally((failure) -> later(job, failure));
	}

	private void segments(OwnedJob job) {
		int number = job.segments();
		this.parts.store().segment(job.job().id(), number).thenAcceptAsync((segment) -> {
			if (segment.isPresent()) {
				job.listed(number, segment.get());
				segments(job);
				return;
			}
			this.claims.forget(job.job().id());
			goOn(job);
		}, this.parts.loop()).exceptionally((failure) -> later(job, failure));
	}

	/**
	 * Takes over how far the items are that another process, or this one before it was
	 * started again, has worked on.
	 * @param job the job, its results read
	 */
	private void goOn(OwnedJob job) {
		this.progress.saved().thenAcceptAsync((saved) -> {
			job.open();
			int taken = 0;
			for (ItemRun run : job.runs()) {
				Optional<ItemProgress> found = saved.of(run);
				found.ifPresent((progress) -> job.goOnAfter(progress, this.parts.ticker().nanos()));
				taken += found.isPresent() ? 1 : 0;
			}
			LOG.info("progress_taken_over", "job", job.job().id(), "open_items", job.openCount(), "with_progress",
					taken);
			ready(job);
		}, this.parts.loop()).exceptionally((failure) -> later(job, failure));
	}

	private void ready(OwnedJob job) {
		if (job.phase() == OwnedJob.Phase.READING) {
			job.phase(OwnedJob.Phase.READY);
		}
		LOG.info("job_owned", "job", job.job().id(), "open_items", job.openCount(), "segments", job.segments());
		this.loaded.run();
	}

	private Void later(OwnedJob job, Throwable failure) {
		LOG.warning("job_not_read", "job", job.job().id(), "error", Failures.root(failure));
		this.parts.timers().schedule(JobStore.AGAIN, () -> {
			if (job.phase() == OwnedJob.Phase.READING) {
				job.phase(OwnedJob.Phase.KNOWN);
			}
		});
		return null;
	}

}
