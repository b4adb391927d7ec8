package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;

/**
 * Publishes the results of jobs: appends them to the store as segments. If another
 * process has written the segment first, or the outcome of a write is unknown, the job is
 * loaded anew before it continues. Used on the event loop.
 */
final class ResultPublisher {

	private static final EventLog LOG = EventLog.of(ResultPublisher.class);

	private final JobRunner.Dependencies dependencies;

	private final ResultAuthority authority;

	private final Runnable onWriteEnded;

	/**
	 * Creates a publisher.
	 * @param dependencies the store, the clocks and the event loop
	 * @param authority is notified of writes
	 * @param onWriteEnded runs when results were published, or may be published again
	 */
	ResultPublisher(JobRunner.Dependencies dependencies, ResultAuthority authority, Runnable onWriteEnded) {
		this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
		this.authority = Objects.requireNonNull(authority, "authority is null");
		this.onWriteEnded = Objects.requireNonNull(onWriteEnded, "onWriteEnded is null");
	}

	/**
	 * Publishes the finished items of a job if their delay has elapsed or no item is
	 * open.
	 * @param job the job
	 */
	void publishIfDue(OwnedJob job) {
		if (!job.hasUnpublished() || job.writing()) {
			return;
		}
		Duration waited = Duration.ofNanos(this.dependencies.ticker().nanos() - job.oldestUnpublishedNanos());
		Duration untilDue = Duration.ofMillis(job.dueMillis() - this.dependencies.wallMillis().get());
		if (job.openCount() == 0 || PublishDelay.elapsed(waited, untilDue)) {
			publish(job);
		}
	}

	/**
	 * Publishes the finished items of a job now, unless a write is in progress.
	 * @param job the job
	 */
	void publish(OwnedJob job) {
		if (job.writing()) {
			return;
		}
		int number = job.segments();
		List<ItemOutcome> outcomes = job.nextSegment(this.dependencies.store().maxDocumentBytes());
		job.writing(true);
		CompletableFuture.completedFuture(job).thenCompose((begun) -> {
			this.authority.onWriteStarted(begun.job().id());
			this.dependencies.sendReport().run();
			return this.dependencies.store().append(begun.job().id(), number, outcomes);
		}).thenComposeAsync((written) -> {
			LOG.info("results_listed", "job", job.job().id(), "segment", number, "results", outcomes.size(), "written",
					written, "open_items", job.openCount());
			if (written) {
				listed(job, number, outcomes);
				return CompletableFuture.completedFuture(null);
			}
			this.authority.revoke(job.job().id());
			job.stopRuns();
			job.phase(OwnedJob.Phase.NOT_LOADED);
			return readOther(job, number);
		}, this.dependencies.loop()).exceptionally((failure) -> {
			LOG.warning("results_not_listed", "job", job.job().id(), "segment", number, "results", outcomes.size(),
					"bytes", outcomes.stream().mapToLong(JobDocuments::maxSize).sum(), "error", Failures.root(failure));
			this.dependencies.timers().schedule(JobStore.RETRY_DELAY, () -> {
				job.writing(false);
				this.authority.revoke(job.job().id());
				if (job.phase() == OwnedJob.Phase.READY) {
					job.stopRuns();
					job.phase(OwnedJob.Phase.NOT_LOADED);
				}
				this.onWriteEnded.run();
			});
			return null;
		});
	}

	private void listed(OwnedJob job, int number, List<ItemOutcome> outcomes) {
		job.writing(false);
		job.addSegment(number, outcomes);
		this.authority.onWritten(job.job().id());
		this.dependencies.sendReport().run();
		this.onWriteEnded.run();
	}

	/**
	 * Reads a segment that another process has written first. A process that no longer
	 * owns the job does not load it, and would write the same segment for good.
	 * @param job the job
	 * @param number the segment's number
	 * @return completes when the segment was added to the job
	 */
	private CompletableFuture<Void> readOther(OwnedJob job, int number) {
		return this.dependencies.store().segment(job.job().id(), number).thenAcceptAsync((segment) -> {
			job.writing(false);
			segment.ifPresent((outcomes) -> job.addSegment(number, outcomes));
			this.onWriteEnded.run();
		}, this.dependencies.loop());
	}

}
