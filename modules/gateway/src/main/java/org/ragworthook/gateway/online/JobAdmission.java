package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.retry.Deadline;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.job.JobStore;
import org.ragworthook.gateway.peer.WaitingTokens;
import org.ragworthook.gateway.route.Route;

/**
 * Accepts or rejects batch jobs: checks the {@link BacklogLimit} and writes accepted jobs
 * to the platform's store. Used on the event loop.
 */
final class JobAdmission {

	private static final EventLog LOG = EventLog.of(JobAdmission.class);

	/** Retry time for callers while the store does not answer. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

	/**
	 * Retry time for callers whose job does not fit below the limit. Within this time a
	 * typical item ends at one slot of three.
	 */
	private static final Duration OVER_LIMIT_RETRY_AFTER = Duration.ofMillis(2_000);

	/**
	 * Time until all peers have received a reservation: enough for the report that is
	 * sent at once and, if that is lost, the next periodic one.
	 */
	private static final Duration REPORT_DELAY = Duration.ofMillis(130);

	/** Pause before a job that the store did not take is written again. */
	private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(150);

	/**
	 * How long the write of a job is retried: a third of what callers usually wait, so
	 * that they have time left to submit it again.
	 */
	private static final Duration MAX_WRITE_TIME = Duration.ofMillis(1_200);

	private final JobStore store;

	private final BacklogLimit limit;

	private final Backlog backlog;

	private final Ticker ticker;

	private final Timers timers;

	private final Executor loop;

	JobAdmission(JobStore store, BacklogLimit limit, Backlog backlog, Ticker ticker, Timers timers, Executor loop) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.limit = Objects.requireNonNull(limit, "limit is null");
		this.backlog = Objects.requireNonNull(backlog, "backlog is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		backlog.recentlyAccepted(limit::reservedTokens);
	}

	/**
	 * Accepts or rejects a job.
	 * @param job the job with its items
	 * @param route the job's route
	 * @param response receives the response
	 */
	void submit(Job job, Route route, JobRequestHandler.JobResponse response) {
		Duration writeTime = (route.timeout().compareTo(MAX_WRITE_TIME) < 0) ? route.timeout() : MAX_WRITE_TIME;
		Submission submission = new Submission(job, route, Deadline.after(this.ticker, writeTime), response);
		decide(submission, this.backlog.reported(route, job.account()));
	}

	/**
	 * Called when a caller has ended a job; notifies the process that runs it.
	 * @param jobId the job's id
	 */
	void ended(String jobId) {
		this.backlog.jobChanged(jobId, true);
	}

	private void decide(Submission submission, WaitingTokens others) {
		switch (this.limit.decide(submission.route, submission.job.account(), submission.job.tokens(), others)) {
			case FITS -> {
				if (submission.route.maxQueuedTokens() > 0) {
					reserve(submission);
				}
				create(submission.job, submission.deadline, submission.response, false);
			}
			case NEAR_LIMIT -> {
				BacklogLimit.Reservation reservation = reserve(submission);
				this.timers.schedule(REPORT_DELAY, () -> recheck(submission, reservation, others));
			}
			case OVER_LIMIT -> rejectUnlessAccepted(submission, others);
			case INCOMPLETE -> decideByStore(submission);
		}
	}

	private BacklogLimit.Reservation reserve(Submission submission) {
		BacklogLimit.Reservation reservation = this.limit.reserve(submission.route, submission.job.account(),
				submission.job.tokens());
		this.backlog.sendReport();
		return reservation;
	}

	private void recheck(Submission submission, BacklogLimit.Reservation reservation, WaitingTokens before) {
		WaitingTokens now = this.backlog.reported(submission.route, submission.job.account());
		WaitingTokens others = now.complete() ? now : new WaitingTokens(false, Math.max(now.tokens(), before.tokens()));
		if (this.limit.withinLimit(submission.route, submission.job.account(), others)) {
			create(submission.job, submission.deadline, submission.response, false);
			return;
		}
		this.limit.cancel(reservation);
		rejectUnlessAccepted(submission, others);
	}

	/**
	 * Decides by the jobs in the store. Used while reports of processes that run jobs are
	 * missing, because these are starting or cut off from this entry.
	 * @param submission the submission
	 */
	private void decideByStore(Submission submission) {
		this.backlog.readUpperBound(submission.route, submission.job.account()).whenCompleteAsync((tokens, failure) -> {
			if (failure == null) {
				decide(submission, new WaitingTokens(true, tokens));
				return;
			}
			LOG.warning("job_not_accepted", "job", submission.job.id(), "unknown", false, "error",
					Failures.root(failure));
			submission.response.status(503, "not accepted: the store does not answer",
					Optional.of(DEFAULT_RETRY_AFTER));
		}, this.loop);
	}

	/**
	 * Rejects a job that does not fit below the limit, unless the store has it already: a
	 * caller that did not receive the first response submits the same job again.
	 * @param submission the submission
	 * @param waiting the waiting tokens, for the log
	 */
	private void rejectUnlessAccepted(Submission submission, WaitingTokens waiting) {
		Job job = submission.job;
		this.store.read(job.id()).whenCompleteAsync((found, failure) -> {
			if (failure != null) {
				LOG.warning("job_not_accepted", "job", job.id(), "unknown", false, "error", Failures.root(failure));
				submission.response.status(503, "not accepted: the store does not answer",
						Optional.of(DEFAULT_RETRY_AFTER));
				return;
			}
			LOG.info(found.isPresent() ? "job_accepted_before" : "job_over_limit", "job", job.id(), "tokens",
					job.tokens(), "waiting", waiting.tokens(), "all_known", waiting.complete(), "limit",
					submission.route.maxQueuedTokens());
			if (found.isPresent()) {
				submission.response.status(202, "", Optional.empty());
			}
			else {
				submission.response.status(429, "not accepted: too much waits on this route",
						Optional.of(OVER_LIMIT_RETRY_AFTER));
			}
		}, this.loop);
	}

	/**
	 * Writes a job to the store and retries until the deadline. Once the outcome of a
	 * write is unknown, no response may state that the job was not accepted.
	 * @param job the job
	 * @param deadline the time until which to retry
	 * @param response receives the response
	 * @param outcomeUnknown whether the outcome of an earlier write is unknown
	 */
	private void create(Job job, Deadline deadline, JobRequestHandler.JobResponse response, boolean outcomeUnknown) {
		this.store.create(job).whenCompleteAsync((fresh, failure) -> {
			if (failure == null) {
				LOG.info("job_accepted", "job", job.id(), "items", job.itemCount(), "fresh", fresh);
				this.backlog.jobChanged(job.id(), false);
				response.status(202, "", Optional.empty());
				return;
			}
			if (ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_TOO_LARGE).isPresent()) {
				rejectTooLarge(job, response, outcomeUnknown, Failures.root(failure));
				return;
			}
			boolean unknown = outcomeUnknown || ConditionalWriter.codeOf(failure)
				.filter((code) -> code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_RATE_LIMITED)
				.isEmpty();
			if (!deadline.expiresWithin(WRITE_RETRY_DELAY)) {
				this.timers.schedule(WRITE_RETRY_DELAY, () -> create(job, deadline, response, unknown));
				return;
			}
			LOG.warning("job_not_accepted", "job", job.id(), "unknown", unknown, "error", Failures.root(failure));
			if (unknown) {
				response.status(500, "the job may have been accepted; send it again", Optional.of(DEFAULT_RETRY_AFTER));
			}
			else {
				response.status(503, "not accepted: the store does not answer", Optional.of(DEFAULT_RETRY_AFTER));
			}
		}, this.loop);
	}

	/**
	 * Rejects a job that the store refuses for its size, unless the store may have it
	 * already: from a write whose outcome is unknown, or from an earlier submission,
	 * after which the store has lowered its limit.
	 * @param job the job
	 * @param response receives the response
	 * @param outcomeUnknown whether the outcome of an earlier write is unknown
	 * @param refusal the answer of the store
	 */
	private void rejectTooLarge(Job job, JobRequestHandler.JobResponse response, boolean outcomeUnknown,
			Throwable refusal) {
		this.store.read(job.id()).whenCompleteAsync((found, failure) -> {
			if (failure == null && found.isPresent()) {
				LOG.info("job_accepted_before", "job", job.id(), "items", job.itemCount(), "error", refusal);
				response.status(202, "", Optional.empty());
				return;
			}
			boolean unknown = outcomeUnknown || failure != null;
			LOG.warning("job_too_large", "job", job.id(), "items", job.itemCount(), "unknown", unknown, "error",
					refusal);
			if (unknown) {
				response.status(500, "the job may have been accepted; send it again", Optional.of(DEFAULT_RETRY_AFTER));
			}
			else {
				response.status(ErrorCode.STORE_TOO_LARGE.httpStatus(), "the store does not take a job of this size",
						Optional.empty());
			}
		}, this.loop);
	}

	/**
	 * A job that a caller has submitted.
	 *
	 * @param job the job
	 * @param route the job's route
	 * @param deadline the time until which the write of the job is retried
	 * @param response receives the response
	 */
	private record Submission(Job job, Route route, Deadline deadline, JobRequestHandler.JobResponse response) {
	}

}
