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
 * Accepts batch jobs or refuses them: asks {@link JobQuota} whether a job fits, and
 * writes it to the platform's store. Used on the event loop.
 */
final class JobAdmission {

	private static final EventLog LOG = EventLog.of(JobAdmission.class);

	/** When a caller may come again while the store does not answer. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

	/**
	 * When a caller may come again whose job does not fit: a usual item ends by then at
	 * one slot of three.
	 */
	private static final Duration ROOM = Duration.ofMillis(2_000);

	/**
	 * Until the peers have heard of a reservation: a report that is sent at once and,
	 * where that is lost, the next one.
	 */
	private static final Duration HEARD = Duration.ofMillis(130);

	/** The pause between two tries to write a job that the store did not take. */
	private static final Duration TRY_AGAIN = Duration.ofMillis(150);

	/**
	 * How long a submission is tried again while the store does not take it: a third of
	 * what callers usually wait, so that they have time to come again.
	 */
	private static final Duration TRY_FOR = Duration.ofMillis(1_200);

	private final JobStore store;

	private final JobQuota quota;

	private final Backlog backlog;

	private final Ticker ticker;

	private final Timers timers;

	private final Executor loop;

	JobAdmission(JobStore store, JobQuota quota, Backlog backlog, Ticker ticker, Timers timers, Executor loop) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.quota = Objects.requireNonNull(quota, "quota is null");
		this.backlog = Objects.requireNonNull(backlog, "backlog is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		backlog.recentlyAccepted(quota::backlog);
	}

	/**
	 * Accepts a job or refuses it.
	 * @param job the job with its items
	 * @param route its route
	 * @param reply takes the answer
	 */
	void submit(Job job, Route route, JobDesk.JobReply reply) {
		Duration limit = (route.timeout().compareTo(TRY_FOR) < 0) ? route.timeout() : TRY_FOR;
		Submission submission = new Submission(job, route, Deadline.after(this.ticker, limit), reply);
		decide(submission, this.backlog.reported(route, job.account()));
	}

	/**
	 * Learns that a caller has ended a job.
	 * @param jobId the job
	 */
	void ended(String jobId) {
		this.backlog.jobChanged(jobId, true);
	}

	private void decide(Submission submission, WaitingTokens others) {
		switch (this.quota.decide(submission.route, submission.job.account(), submission.job.tokens(), others)) {
			case FITS -> {
				if (submission.route.maxQueuedTokens() > 0) {
					reserve(submission);
				}
				create(submission.job, submission.deadline, submission.reply, false);
			}
			case NEAR_LIMIT -> {
				JobQuota.Reservation reservation = reserve(submission);
				this.timers.schedule(HEARD, () -> lookAgain(submission, reservation, others));
			}
			case TOO_MUCH -> tooMuch(submission, others);
			case UNSURE -> lookInStore(submission);
		}
	}

	private JobQuota.Reservation reserve(Submission submission) {
		JobQuota.Reservation reservation = this.quota.reserve(submission.route, submission.job.account(),
				submission.job.tokens());
		this.backlog.sendReport();
		return reservation;
	}

	private void lookAgain(Submission submission, JobQuota.Reservation reservation, WaitingTokens before) {
		WaitingTokens now = this.backlog.reported(submission.route, submission.job.account());
		WaitingTokens others = now.complete() ? now : new WaitingTokens(false, Math.max(now.tokens(), before.tokens()));
		if (this.quota.holds(submission.route, submission.job.account(), others)) {
			create(submission.job, submission.deadline, submission.reply, false);
			return;
		}
		this.quota.withdraw(reservation);
		tooMuch(submission, others);
	}

	/**
	 * Decides by what the store has, since the processes that run jobs are not all heard:
	 * they start, or are cut off from this entry.
	 * @param submission the job
	 */
	private void lookInStore(Submission submission) {
		this.backlog.readUpperBound(submission.route, submission.job.account()).whenCompleteAsync((tokens, failure) -> {
			if (failure == null) {
				decide(submission, new WaitingTokens(true, tokens));
				return;
			}
			LOG.warning("job_not_accepted", "job", submission.job.id(), "unknown", false, "error",
					Failures.root(failure));
			submission.reply.status(503, "not accepted: the store does not answer", Optional.of(DEFAULT_RETRY_AFTER));
		}, this.loop);
	}

	/**
	 * Refuses a job that does not fit, unless it is one that was accepted before and
	 * whose answer its caller did not get.
	 * @param submission the job
	 * @param waiting what waits
	 */
	private void tooMuch(Submission submission, WaitingTokens waiting) {
		Job job = submission.job;
		this.store.read(job.id()).whenCompleteAsync((found, failure) -> {
			if (failure != null) {
				LOG.warning("job_not_accepted", "job", job.id(), "unknown", false, "error", Failures.root(failure));
				submission.reply.status(503, "not accepted: the store does not answer",
						Optional.of(DEFAULT_RETRY_AFTER));
				return;
			}
			LOG.info(found.isPresent() ? "job_accepted_before" : "job_over_limit", "job", job.id(), "tokens",
					job.tokens(), "waiting", waiting.tokens(), "all_known", waiting.complete(), "limit",
					submission.route.maxQueuedTokens());
			if (found.isPresent()) {
				submission.reply.status(202, "", Optional.empty());
			}
			else {
				submission.reply.status(429, "not accepted: too much waits on this route", Optional.of(ROOM));
			}
		}, this.loop);
	}

	/**
	 * Writes the job, and tries again where the store says that it has not taken it. Once
	 * the outcome of a write is unknown, no answer may promise that the job never runs.
	 * @param job the job
	 * @param deadline until when to try
	 * @param reply takes the answer
	 * @param doubtful whether the outcome of an earlier write is unknown
	 */
	private void create(Job job, Deadline deadline, JobDesk.JobReply reply, boolean doubtful) {
		this.store.create(job).whenCompleteAsync((fresh, failure) -> {
			if (failure == null) {
				LOG.info("job_accepted", "job", job.id(), "items", job.itemCount(), "fresh", fresh);
				this.backlog.jobChanged(job.id(), false);
				reply.status(202, "", Optional.empty());
				return;
			}
			boolean unknown = doubtful || ConditionalWriter.codeOf(failure)
				.filter((code) -> code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_RATE_LIMITED)
				.isEmpty();
			if (!deadline.expiresWithin(TRY_AGAIN)) {
				this.timers.schedule(TRY_AGAIN, () -> create(job, deadline, reply, unknown));
				return;
			}
			LOG.warning("job_not_accepted", "job", job.id(), "unknown", unknown, "error", Failures.root(failure));
			if (unknown) {
				reply.status(500, "the job may have been accepted; send it again", Optional.of(DEFAULT_RETRY_AFTER));
			}
			else {
				reply.status(503, "not accepted: the store does not answer", Optional.of(DEFAULT_RETRY_AFTER));
			}
		}, this.loop);
	}

	/**
	 * A job that a caller brings.
	 *
	 * @param job the job
	 * @param route its route
	 * @param deadline until when to try to write it
	 * @param reply takes the answer
	 */
	private record Submission(Job job, Route route, Deadline deadline, JobDesk.JobReply reply) {
	}

}
