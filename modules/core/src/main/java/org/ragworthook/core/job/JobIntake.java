package org.ragworthook.core.job;

import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Timers;

/**
 * Accepts jobs. A job is created by one conditional create of its record, so that a
 * repeated submission, to any entry, finds the existing record.
 */
public final class JobIntake {

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final StoreRetry retry;

	private final InstantSource clock;

	private final FileIntake files;

	private final int shards;

	private JobIntake(FileIntake files, Stamps stamps, Timers timers, InstantSource clock, int shards) {
		this.files = Objects.requireNonNull(files, "files is null");
		this.store = files.store();
		this.writer = ConditionalWriter.of(this.store, stamps);
		this.retry = new StoreRetry(timers);
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.shards = shards;
	}

	/**
	 * Returns a job intake.
	 * @param files the files that jobs read their items from
	 * @param stamps identifies each write
	 * @param timers schedules retries
	 * @param clock the time of day
	 * @param shards the number of shards, the same at all entries
	 * @return the job intake
	 */
	public static JobIntake of(FileIntake files, Stamps stamps, Timers timers, InstantSource clock, int shards) {
		return new JobIntake(files, stamps, timers, clock, shards);
	}

	/**
	 * Accepts a job, or returns the existing one if it was accepted before.
	 * @param spec the job to accept
	 * @return the record of the job; fails with a {@link JobException} if the job is
	 * rejected
	 */
	public CompletableFuture<JobRecord> accept(JobSpec spec) {
		return this.retry.call(() -> this.files.file(spec.account(), spec.input())).exceptionally((failure) -> {
			throw refused(failure);
		})
			.thenCompose((found) -> found.map((file) -> create(spec, file))
				.orElseThrow(() -> new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + spec.input().id())));
	}

	private CompletableFuture<JobRecord> create(JobSpec spec, FileRecord file) {
		if (!file.endpoint().equals(spec.endpoint())) {
			throw new JobException(ErrorCode.JOB_MALFORMED,
					"the items go to " + file.endpoint() + ", the job to " + spec.endpoint());
		}
		JobRecord job = JobRecord.accepted(spec.id(), spec, file, this.shards, this.clock.millis());
		return this.retry.call(() -> this.writer.create(job.id().key(), job.text(), job.labels()))
			.handle((stored, failure) -> {
				if (failure == null) {
					return confirmFile(stored, job, spec);
				}
				return StoreRetry.conflictOrUnknown(failure) ? existing(job)
						: CompletableFuture.<JobRecord>failedFuture(refused(failure));
			})
			.thenCompose((accepted) -> accepted);
	}

	// The file may have been deleted concurrently, see JobGarbageCollector. The job is
	// then withdrawn before it is acknowledged.
	private CompletableFuture<JobRecord> confirmFile(Stored stored, JobRecord job, JobSpec spec) {
		return this.retry.call(() -> this.files.file(spec.account(), spec.input())).handle((file, failure) -> {
			if (failure != null) {
				return CompletableFuture.<JobRecord>failedFuture(new JobException(ErrorCode.JOB_OUTCOME_UNKNOWN,
						"the job's file could not be read again", Failures.root(failure)));
			}
			if (file.isPresent()) {
				return CompletableFuture.completedFuture(job);
			}
			JobRecord withdrawn = job.withEnd(JobStatus.CANCELLED, this.clock.millis());
			return this.retry.call(() -> this.writer.update(stored, withdrawn.text(), withdrawn.labels()))
				.<JobRecord>thenApply((written) -> {
					throw new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + spec.input().id());
				});
		}).thenCompose((settled) -> settled);
	}

	private CompletableFuture<JobRecord> existing(JobRecord repeated) {
		return this.retry.call(() -> this.store.read(repeated.id().key())).handle((found, failure) -> {
			if (failure != null) {
				throw outcomeUnknown();
			}
			JobRecord first = found.map(Stored::text).map(JobRecord::parse).orElseThrow(JobIntake::outcomeUnknown);
			if (!first.fingerprint().equals(repeated.fingerprint())) {
				throw new JobException(ErrorCode.JOB_KEY_REUSED,
						first.id() + " was accepted under this key with other content");
			}
			return first;
		});
	}

	// After a write with an unknown outcome the job may exist or may still appear. A
	// repeated submission under the same key either finds it or creates it.
	private static JobException outcomeUnknown() {
		return new JobException(ErrorCode.JOB_OUTCOME_UNKNOWN, "the store's answer was lost");
	}

	private static JobException refused(Throwable failure) {
		return new JobException(ErrorCode.JOB_NOT_ACCEPTED, "the store did not take the job", Failures.root(failure));
	}

}
