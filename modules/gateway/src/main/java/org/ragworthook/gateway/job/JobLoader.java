package org.ragworthook.gateway.job;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;

/**
 * Loads what an owner needs before it runs a job: its items, the results that are already
 * published, and the progress of the other items. Used on the event loop.
 */
final class JobLoader {

	private static final EventLog LOG = EventLog.of(JobLoader.class);

	private final JobRunner.Dependencies dependencies;

	private final ProgressSaver progress;

	private final ResultAuthority authority;

	private final Runnable onLoaded;

	/**
	 * Creates a loader.
	 * @param dependencies the store, the timers and the event loop
	 * @param progress reads the saved progress of items
	 * @param authority is notified of what was read
	 * @param onLoaded runs when a job is ready
	 */
	JobLoader(JobRunner.Dependencies dependencies, ProgressSaver progress, ResultAuthority authority,
			Runnable onLoaded) {
		this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
		this.progress = Objects.requireNonNull(progress, "progress is null");
		this.authority = Objects.requireNonNull(authority, "authority is null");
		this.onLoaded = Objects.requireNonNull(onLoaded, "onLoaded is null");
	}

	/**
	 * Loads a job. The job is {@link OwnedJob.Phase#READY} afterwards, or
	 * {@link OwnedJob.Phase#NOT_LOADED} again some time after a failure.
	 * @param job the job
	 */
	void load(OwnedJob job) {
		job.phase(OwnedJob.Phase.LOADING);
		CompletableFuture<Job> read = CompletableFuture.completedFuture(job.job())
			.thenCompose(this.dependencies.store()::withItems);
		read.thenAcceptAsync((loaded) -> {
			if (!job.job().ended()) {
				job.job(loaded);
			}
			if (job.mayHaveResults()) {
				readSegments(job);
			}
			else {
				job.assumeResults();
				job.openItems();
				this.authority.onAccepted(job.job().id());
				markReady(job);
			}
		}, this.dependencies.loop()).exceptionally((failure) -> retryLater(job, failure));
	}

	private void readSegments(OwnedJob job) {
		int number = job.segments();
		this.dependencies.store().segment(job.job().id(), number).thenAcceptAsync((segment) -> {
			if (segment.isPresent()) {
				job.addSegment(number, segment.get());
				readSegments(job);
				return;
			}
			this.authority.revoke(job.job().id());
			restoreProgress(job);
		}, this.dependencies.loop()).exceptionally((failure) -> retryLater(job, failure));
	}

	/**
	 * Restores the saved progress of items, which another process has run, or this one
	 * before a restart.
	 * @param job the job, its published results read
	 */
	private void restoreProgress(OwnedJob job) {
		this.progress.readSaved().thenAcceptAsync((saved) -> {
			job.openItems();
			int restored = 0;
			for (ItemRun run : job.runs()) {
				Optional<ItemProgress> found = saved.find(run);
				found.ifPresent((progress) -> job.resumeFrom(progress, this.dependencies.ticker().nanos()));
				restored += found.isPresent() ? 1 : 0;
			}
			LOG.info("progress_taken_over", "job", job.job().id(), "open_items", job.openCount(), "with_progress",
					restored);
			markReady(job);
		}, this.dependencies.loop()).exceptionally((failure) -> retryLater(job, failure));
	}

	private void markReady(OwnedJob job) {
		if (job.phase() == OwnedJob.Phase.LOADING) {
			job.phase(OwnedJob.Phase.READY);
		}
		LOG.info("job_owned", "job", job.job().id(), "open_items", job.openCount(), "segments", job.segments());
		this.onLoaded.run();
	}

	private Void retryLater(OwnedJob job, Throwable failure) {
		LOG.warning("job_not_read", "job", job.job().id(), "error", Failures.root(failure));
		this.dependencies.timers().schedule(JobStore.RETRY_DELAY, () -> {
			if (job.phase() == OwnedJob.Phase.LOADING) {
				job.phase(OwnedJob.Phase.NOT_LOADED);
			}
		});
		return null;
	}

}
