package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Stored;

/**
 * Keeps the records of an owner's jobs: progress, cancel and end, each by one conditional
 * write. The job's record decides whether a cancel or the completion came first.
 */
final class JobRecordWriter {

	private static final Duration RETRY = Duration.ofSeconds(1);

	private final ShardOwner owner;

	private final ShardOwner.Builder parts;

	private final ConditionalWriter writer;

	JobRecordWriter(ShardOwner owner, ShardOwner.Builder parts, ConditionalWriter writer) {
		this.owner = Objects.requireNonNull(owner, "owner is null");
		this.parts = Objects.requireNonNull(parts, "parts is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	/**
	 * Does what a job's state calls for: ends it, stops it, or records its progress.
	 * @param job the job
	 */
	void check(JobRun job) {
		if (job.closed()) {
			return;
		}
		if (job.record().status().ended() || job.record().epoch() > this.owner.epoch()) {
			this.owner.drop(job);
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
		int fresh = job.done().size() - job.record().done().size();
		long waited = this.parts.ticker.nanos() - job.progressNanos();
		boolean waitedLong = waited >= this.parts.policy.progressEvery().toNanos();
		return fresh >= JobRecord.RESERVE || (waitedLong && (fresh > 0 || job.lateChanged()));
	}

	// ChunkDeletion below the reserve may have been claimed by an earlier owner that is
	// paused.
	// They are claimed here, so that none of its results shows after the job has ended.
	private void cancel(JobRun job) {
		if (!job.cancelling()) {
			job.cancel();
			this.owner.cancelItems(job);
		}
		job.chunks().forEach(this.owner::endOpenItems);
		for (int chunk : job.maybeClaimed()) {
			this.owner.open(job, chunk);
		}
		if (job.openCount() == 0) {
			end(job, JobStatus.CANCELLED);
		}
	}

	/**
	 * Records how far a job has come, which also reserves further chunks.
	 * @param job the job
	 */
	void progress(JobRun job) {
		write(job, progressed(job), false);
	}

	private JobRecord progressed(JobRun job) {
		return job.record().progressed(job.done(), job.counts(), this.owner.epoch(), job.expectedMillis());
	}

	private void end(JobRun job, JobStatus status) {
		write(job, progressed(job).ended(status, this.parts.clock.millis()), true);
	}

	private void write(JobRun job, JobRecord next, boolean last) {
		if (job.writing() || job.closed()) {
			return;
		}
		job.writing(true);
		job.progressNanos(this.parts.ticker.nanos());
		this.writer.update(job.stored(), next.text(), next.labels()).whenCompleteAsync((stored, failure) -> {
			if (failure == null) {
				written(job, stored, next, last);
			}
			else if (StoreRetry.conflict(failure)) {
				readAgain(job);
			}
			else {
				this.owner.later(RETRY, () -> readAgain(job));
			}
		}, this.owner.serial());
	}

	private void written(JobRun job, Stored stored, JobRecord next, boolean last) {
		job.writing(false);
		job.adopt(stored, next);
		if (last) {
			this.owner.ended(job);
			return;
		}
		check(job);
		this.owner.wake();
	}

	private void readAgain(JobRun job) {
		this.parts.store.read(job.id().key()).whenCompleteAsync((found, failure) -> {
			if (failure != null) {
				this.owner.later(RETRY, () -> readAgain(job));
				return;
			}
			job.writing(false);
			Optional<Stored> newest = found;
			if (newest.isEmpty()) {
				this.owner.drop(job);
				return;
			}
			job.adopt(newest.get(), JobRecord.parse(newest.get().text()));
			check(job);
			this.owner.wake();
		}, this.owner.serial());
	}

}
