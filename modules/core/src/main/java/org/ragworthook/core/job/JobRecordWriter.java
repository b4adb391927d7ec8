package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Stored;

/**
 * Writes the records of a shard owner's jobs: progress, cancellation and end, each by one
 * conditional write. That write decides whether a cancellation or the completion came
 * first.
 */
final class JobRecordWriter {

	private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(1);

	private final ShardOwner owner;

	private final ShardOwner.Builder builder;

	private final ConditionalWriter writer;

	JobRecordWriter(ShardOwner owner, ShardOwner.Builder builder, ConditionalWriter writer) {
		this.owner = Objects.requireNonNull(owner, "owner is null");
		this.builder = Objects.requireNonNull(builder, "builder is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	/**
	 * Takes the next step for a job: drops, cancels or ends it, or records its progress
	 * if that is due.
	 * @param job the job
	 */
	void check(JobRun job) {
		if (job.closed()) {
			return;
		}
		if (job.record().status().ended() || job.record().epoch() > this.owner.epoch()) {
			this.owner.dropJob(job);
			return;
		}
		if (job.record().status() == JobStatus.CANCELLING) {
			cancel(job);
			return;
		}
		if (job.allDone()) {
			end(job, JobStatus.COMPLETED);
		}
		else if (progressDue(job)) {
			progress(job);
		}
	}

	private boolean progressDue(JobRun job) {
		int unrecorded = job.done().size() - job.record().done().size();
		long waited = this.builder.ticker.nanos() - job.lastProgressNanos();
		boolean intervalOver = waited >= this.builder.policy.progressInterval().toNanos();
		return unrecorded >= JobRecord.RESERVE_CHUNKS || (intervalOver && (unrecorded > 0 || job.lateChanged()));
	}

	// An earlier owner that is paused may have claimed chunks below the reserve. This
	// owner claims them, so that no result of the earlier one appears after the job has
	// ended.
	private void cancel(JobRun job) {
		if (!job.cancelling()) {
			job.cancel();
			this.owner.cancelItems(job);
		}
		job.chunks().forEach(this.owner::cancelUnfinished);
		for (int chunk : job.unopenedReserved()) {
			this.owner.open(job, chunk);
		}
		if (job.openCount() == 0) {
			end(job, JobStatus.CANCELLED);
		}
	}

	/**
	 * Records the progress of a job, which also extends its reserve of chunks.
	 * @param job the job
	 */
	void progress(JobRun job) {
		write(job, progressOf(job), false);
	}

	private JobRecord progressOf(JobRun job) {
		return job.record().withProgress(job.done(), job.counts(), this.owner.epoch(), job.expectedMillis());
	}

	private void end(JobRun job, JobStatus status) {
		write(job, progressOf(job).withEnd(status, this.builder.clock.millis()), true);
	}

	private void write(JobRun job, JobRecord next, boolean last) {
		if (job.writing() || job.closed()) {
			return;
		}
		job.writing(true);
		job.lastProgressNanos(this.builder.ticker.nanos());
		this.writer.update(job.stored(), next.text(), next.labels()).whenCompleteAsync((stored, failure) -> {
			if (failure == null) {
				written(job, stored, next, last);
			}
			else if (StoreRetry.conflict(failure)) {
				reread(job);
			}
			else {
				this.owner.schedule(STORE_RETRY_DELAY, () -> reread(job));
			}
		}, this.owner.serial());
	}

	private void written(JobRun job, Stored stored, JobRecord next, boolean last) {
		job.writing(false);
		job.update(stored, next);
		if (last) {
			this.owner.jobEnded(job);
			return;
		}
		check(job);
		this.owner.requestDispatch();
	}

	private void reread(JobRun job) {
		this.builder.store.read(job.id().key()).whenCompleteAsync((found, failure) -> {
			if (failure != null) {
				this.owner.schedule(STORE_RETRY_DELAY, () -> reread(job));
				return;
			}
			job.writing(false);
			Optional<Stored> newest = found;
			if (newest.isEmpty()) {
				this.owner.dropJob(job);
				return;
			}
			job.update(newest.get(), JobRecord.parse(newest.get().text()));
			check(job);
			this.owner.requestDispatch();
		}, this.owner.serial());
	}

}
