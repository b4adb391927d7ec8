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
 * Accepts jobs. A job exists from one conditional create on; a job that is sent again, to
 * any entry, meets its own record there.
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
	 * Returns an intake.
	 * @param files where the items come from
	 * @param stamps marks each write
	 * @param timers wait between two tries
	 * @param clock the time of day
	 * @param shards over how many shards jobs are spread, the same at all entries
	 * @return the intake
	 */
	public static JobIntake of(FileIntake files, Stamps stamps, Timers timers, InstantSource clock, int shards) {
		return new JobIntake(files, stamps, timers, clock, shards);
	}

	/**
	 * Accepts a job, or finds it if it was accepted before.
	 * @param spec what the account asks for
	 * @return the job's record; fails with a {@link JobException} if it was refused
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
					return confirmed(stored, job, spec);
				}
				return StoreRetry.undecided(failure) ? existing(job)
						: CompletableFuture.<JobRecord>failedFuture(refused(failure));
			})
			.thenCompose((accepted) -> accepted);
	}

	// The file may have been removed at the same moment; see JobGarbageCollector. The job
	// is
	// then
	// withdrawn before it is acknowledged.
	private CompletableFuture<JobRecord> confirmed(Stored stored, JobRecord job, JobSpec spec) {
		return this.retry.call(() -> this.files.file(spec.account(), spec.input())).handle((file, failure) -> {
			if (failure != null) {
				return CompletableFuture.<JobRecord>failedFuture(new JobException(ErrorCode.JOB_OUTCOME_UNKNOWN,
						"the job's file could not be read again", Failures.root(failure)));
			}
			if (file.isPresent()) {
				return CompletableFuture.completedFuture(job);
			}
			JobRecord withdrawn = job.ended(JobStatus.CANCELLED, this.clock.millis());
			return this.retry.call(() -> this.writer.update(stored, withdrawn.text(), withdrawn.labels()))
				.<JobRecord>thenApply((written) -> {
					throw new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + spec.input().id());
				});
		}).thenCompose((settled) -> settled);
	}

	private CompletableFuture<JobRecord> existing(JobRecord again) {
		return this.retry.call(() -> this.store.read(again.id().key())).handle((found, failure) -> {
			if (failure != null) {
				throw unknown();
			}
			JobRecord first = found.map(Stored::text).map(JobRecord::parse).orElseThrow(JobIntake::unknown);
			if (!first.fingerprint().equals(again.fingerprint())) {
				throw new JobException(ErrorCode.JOB_KEY_REUSED,
						first.id() + " was accepted under this key with other content");
			}
			return first;
		});
	}

	// After an unknown outcome the job may be there or may still appear. Sent again under
	// its key, it is either found or accepted.
	private static JobException unknown() {
		return new JobException(ErrorCode.JOB_OUTCOME_UNKNOWN, "the store's answer was lost");
	}

	private static JobException refused(Throwable failure) {
		return new JobException(ErrorCode.JOB_NOT_ACCEPTED, "the store did not take the job", Failures.root(failure));
	}

}
