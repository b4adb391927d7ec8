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
 * Cancels jobs. One conditional write of the job's record decides whether the
 * cancellation or the completion came first.
 */
public final class JobCanceller {

	private static final int MAX_ATTEMPTS = 8;

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private JobCanceller(ObjectStore store, Stamps stamps, InstantSource clock) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = ConditionalWriter.of(store, stamps);
		this.clock = Objects.requireNonNull(clock, "clock is null");
	}

	/**
	 * Returns a job canceller.
	 * @param store the object store
	 * @param stamps identifies each write
	 * @param clock the time of day
	 * @return the job canceller
	 */
	public static JobCanceller of(ObjectStore store, Stamps stamps, InstantSource clock) {
		return new JobCanceller(store, stamps, clock);
	}

	/**
	 * Cancels a job. Cancelling a job that is being cancelled or was cancelled has no
	 * effect.
	 * @param account the account that asks
	 * @param id the job
	 * @return the record of the cancelled job; fails with {@code JOB_ENDED} if the job
	 * had ended, and with {@code JOB_NOT_FOUND} if there is no such job of this account
	 */
	public CompletableFuture<JobRecord> cancel(String account, JobId id) {
		return attempt(account, id, MAX_ATTEMPTS);
	}

	private CompletableFuture<JobRecord> attempt(String account, JobId id, int attemptsLeft) {
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
			return write(stored, job.withCancel(this.clock.millis()), attemptsLeft);
		});
	}

	// The owner may write progress between the read and this write; the record is then
	// read again, up to a limit of attempts.
	private CompletableFuture<JobRecord> write(Stored stored, JobRecord next, int attemptsLeft) {
		return this.writer.update(stored, next.text()).handle((written, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(next);
			}
			return (StoreRetry.conflictOrUnknown(failure) && attemptsLeft > 1)
					? attempt(next.account(), next.id(), attemptsLeft - 1)
					: CompletableFuture.<JobRecord>failedFuture(Failures.root(failure));
		}).thenCompose((settled) -> settled);
	}

	private static JobException notFound(JobId id) {
		return new JobException(ErrorCode.JOB_NOT_FOUND, "no job " + id);
	}

}
