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

/**
 * Cancels jobs. Whether a cancel or the completion came first is decided by one
 * conditional write on the job's record.
 */
public final class JobCanceller {

	private static final int TRIES = 8;

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private JobCanceller(ObjectStore store, Stamps stamps, InstantSource clock) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = ConditionalWriter.of(store, stamps);
		this.clock = Objects.requireNonNull(clock, "clock is null");
	}

	/**
	 * Returns what cancels jobs.
	 * @param store where jobs are kept
	 * @param stamps marks each write
	 * @param clock the time of day
	 * @return the canceller
	 */
	public static JobCanceller of(ObjectStore store, Stamps stamps, InstantSource clock) {
		return new JobCanceller(store, stamps, clock);
	}

	/**
	 * Cancels a job.
	 * @param account who asks
	 * @param id the job
	 * @return the job as it is being cancelled; fails with {@code JOB_ENDED} if it ended
	 * before
	 */
	public CompletableFuture<JobRecord> cancel(String account, JobId id) {
		return attempt(account, id, TRIES);
	}

	private CompletableFuture<JobRecord> attempt(String account, JobId id, int tries) {
		return this.store.read(id.key()).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> notFound(id));
			JobRecord job = JobRecord.parse(stored.text());
			if (!job.account().equals(account)) {
				throw notFound(id);
			}
			if (job.status() == JobStatus.CANCELLING || job.status() == JobStatus.CANCELLED) {
				return CompletableFuture.completedFuture(job);
			}
			if (job.status().ended()) {
				throw new JobException(ErrorCode.JOB_ENDED, id + " ended before the cancel");
			}
			return write(stored, job.cancelling(this.clock.millis()), tries);
		});
	}

	// The owner's progress can come in between; the record is read again, a few times.
	private CompletableFuture<JobRecord> write(Stored stored, JobRecord next, int tries) {
		return this.writer.update(stored, next.text()).handle((written, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(next);
			}
			return (StoreRetry.undecided(failure) && tries > 1) ? attempt(next.account(), next.id(), tries - 1)
					: CompletableFuture.<JobRecord>failedFuture(Failures.root(failure));
		}).thenCompose((settled) -> settled);
	}

	private static JobException notFound(JobId id) {
		return new JobException(ErrorCode.JOB_NOT_FOUND, "no job " + id);
	}

}
