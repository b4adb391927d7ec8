package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.retry.Deadline;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.dialect.JobCall;
import org.ragworthook.gateway.dialect.JobFormat;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.job.JobItem;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobStore;
import org.ragworthook.gateway.peer.WaitingTokens;
import org.ragworthook.gateway.route.Route;

/**
 * Answers the calls about batch jobs. Whatever is answered with success is in the
 * platform's store; while the store does not answer, callers are told to come again.
 */
final class JobDesk {

	private static final EventLog LOG = EventLog.of(JobDesk.class);

	private static final int MAX_ITEMS = 200;

	private static final int MAX_ID = 100;

	private static final Duration COME_AGAIN = Duration.ofMillis(500);

	/**
	 * When a caller may come again whose job does not fit: a usual item ends by then at
	 * each slot of two or three.
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

	private final JobReader reader;

	private final JobFormat format;

	private final Timers timers;

	private final Executor loop;

	private final Supplier<Long> wallMillis;

	private final JobQuota quota;

	private final Backlog backlog;

	JobDesk(JobStore store, JobReader reader, JobFormat format, Timers timers, Executor loop, Supplier<Long> wallMillis,
			JobQuota quota, Backlog backlog) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.reader = Objects.requireNonNull(reader, "reader is null");
		this.format = Objects.requireNonNull(format, "format is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
		this.quota = Objects.requireNonNull(quota, "quota is null");
		this.backlog = Objects.requireNonNull(backlog, "backlog is null");
		backlog.show(quota::backlog);
	}

	JobFormat format() {
		return this.format;
	}

	/**
	 * Takes a job.
	 * @param jobId its id
	 * @param host the host that it was submitted to
	 * @param path the path that it was submitted to
	 * @param route its route
	 * @param version the version of the configuration that the route is from
	 * @param body the items
	 * @param reply takes the answer
	 */
	void submit(String jobId, String host, String path, Route route, long version, byte[] body, JobReply reply) {
		List<JobItem> items;
		try {
			items = this.format.items(body);
			check(jobId, items);
		}
		catch (JobException ex) {
			LOG.info("job_malformed", "job", jobId, "error", ex.getMessage());
			reply.status(ex.code().httpStatus(), ex.getMessage(), Optional.empty());
			return;
		}
		long tokens = items.stream().mapToLong(JobItem::tokens).sum();
		Job job = new Job(jobId, host, path, this.wallMillis.get(), version, items.size(), 0, tokens, false, items);
		Duration limit = (route.timeout().compareTo(TRY_FOR) < 0) ? route.timeout() : TRY_FOR;
		Deadline deadline = Deadline.after(Ticker.system(), limit);
		decide(new Submission(job, route, deadline, reply), this.backlog.reported(route));
	}

	private void decide(Submission submission, WaitingTokens others) {
		switch (this.quota.decide(submission.route, submission.job.tokens(), others)) {
			case FITS -> {
				if (submission.route.mostWaitingTokens() > 0) {
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
		JobQuota.Reservation reservation = this.quota.reserve(submission.route, submission.job.tokens());
		this.backlog.tell();
		return reservation;
	}

	private void lookAgain(Submission submission, JobQuota.Reservation reservation, WaitingTokens before) {
		WaitingTokens now = this.backlog.reported(submission.route);
		WaitingTokens others = now.known() ? now : new WaitingTokens(false, Math.max(now.tokens(), before.tokens()));
		if (this.quota.holds(submission.route, others)) {
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
		this.backlog.atMost(submission.route).whenCompleteAsync((tokens, failure) -> {
			if (failure == null) {
				decide(submission, new WaitingTokens(true, tokens));
				return;
			}
			LOG.warning("job_not_accepted", "job", submission.job.id(), "unknown", false, "error",
					Failures.root(failure));
			submission.reply.status(503, "not accepted: the store does not answer", Optional.of(COME_AGAIN));
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
				unsure(job.id(), "SUBMIT", failure, submission.reply);
				return;
			}
			LOG.info(found.isPresent() ? "job_accepted_before" : "job_over_limit", "job", job.id(), "tokens",
					job.tokens(), "waiting", waiting.tokens(), "all_known", waiting.known(), "limit",
					submission.route.mostWaitingTokens());
			if (found.isPresent()) {
				submission.reply.status(202, "", Optional.empty());
			}
			else {
				submission.reply.status(429, "not accepted: too much waits on this route", Optional.of(ROOM));
			}
		}, this.loop);
	}

	private static void check(String jobId, List<JobItem> items) {
		Set<String> ids = new HashSet<>();
		items.forEach((item) -> ids.add(item.id()));
		if (jobId.length() > MAX_ID) {
			throw new JobException(ErrorCode.JOB_MALFORMED, "the job's id is longer than " + MAX_ID + " characters");
		}
		if (items.isEmpty() || items.size() > MAX_ITEMS) {
			throw new JobException(ErrorCode.JOB_MALFORMED,
					"the job has " + items.size() + " items; 1 to " + MAX_ITEMS + " are taken");
		}
		if (ids.size() < items.size()) {
			throw new JobException(ErrorCode.JOB_MALFORMED, "two items of the job have the same id");
		}
	}

	/**
	 * Writes the job, and tries again where the store says that it has not taken it. Once
	 * the outcome of a write is unknown, no answer may promise that the job never runs.
	 * @param job the job
	 * @param deadline until when to try
	 * @param reply takes the answer
	 * @param doubtful whether the outcome of an earlier write is unknown
	 */
	private void create(Job job, Deadline deadline, JobReply reply, boolean doubtful) {
		this.store.create(job).whenCompleteAsync((fresh, failure) -> {
			if (failure == null) {
				LOG.info("job_accepted", "job", job.id(), "items", job.itemCount(), "fresh", fresh);
				reply.status(202, "", Optional.empty());
				return;
			}
			boolean unknown = doubtful || ConditionalWriter.codeOf(failure)
				.filter((code) -> code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_RATE_LIMITED)
				.isEmpty();
			if (!deadline.within(TRY_AGAIN)) {
				this.timers.schedule(TRY_AGAIN, () -> create(job, deadline, reply, unknown));
				return;
			}
			LOG.warning("job_not_accepted", "job", job.id(), "unknown", unknown, "error", Failures.root(failure));
			if (unknown) {
				reply.status(500, "the job may have been accepted; send it again", Optional.of(COME_AGAIN));
			}
			else {
				reply.status(503, "not accepted: the store does not answer", Optional.of(COME_AGAIN));
			}
		}, this.loop);
	}

	/**
	 * Answers a call about a job.
	 * @param call the call
	 * @param wait how long a read may wait
	 * @param reply takes the answer
	 */
	void handle(JobCall call, Duration wait, JobReply reply) {
		switch (call.action()) {
			case RESULTS -> results(call, wait, reply);
			case ITEM_BODY -> body(call, reply);
			case END -> end(call, reply);
			case MALFORMED -> reply.status(400, "the call cannot be understood", Optional.empty());
		}
	}

	private void results(JobCall call, Duration wait, JobReply reply) {
		this.reader.results(call.jobId(), call.position(), wait).whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				unsure(call.jobId(), call.action(), failure, reply);
			}
			else if (page.isEmpty()) {
				absent(call, reply);
			}
			else {
				reply.body(this.format.results(page.get().total(), page.get().position(), page.get().outcomes()),
						"application/json");
			}
		}, this.loop);
	}

	private void body(JobCall call, JobReply reply) {
		this.reader.body(call.jobId(), call.itemId()).whenCompleteAsync((body, failure) -> {
			if (failure != null) {
				unsure(call.jobId(), call.action(), failure, reply);
			}
			else if (body.isEmpty()) {
				absent(call, reply);
			}
			else {
				reply.body(Base64.getDecoder().decode(body.get()), "application/octet-stream");
			}
		}, this.loop);
	}

	private void end(JobCall call, JobReply reply) {
		this.store.end(call.jobId()).whenCompleteAsync((found, failure) -> {
			if (failure != null) {
				unsure(call.jobId(), call.action(), failure, reply);
			}
			else if (found) {
				LOG.info("job_end_accepted", "job", call.jobId());
				reply.status(200, "", Optional.empty());
			}
			else {
				absent(call, reply);
			}
		}, this.loop);
	}

	private static void absent(JobCall call, JobReply reply) {
		LOG.info("job_absent", "job", call.jobId(), "action", call.action(), "item", call.itemId());
		reply.status(404, "there is no such job or item", Optional.empty());
	}

	private static void unsure(String jobId, Object action, Throwable failure, JobReply reply) {
		LOG.warning("job_call_failed", "job", jobId, "action", action, "error", Failures.root(failure));
		reply.status(503, "the store does not answer", Optional.of(COME_AGAIN));
	}

	/**
	 * A job that a caller brings.
	 *
	 * @param job the job
	 * @param route its route
	 * @param deadline until when to try to write it
	 * @param reply takes the answer
	 */
	private record Submission(Job job, Route route, Deadline deadline, JobReply reply) {
	}

	/**
	 * Takes the answer to a call.
	 */
	interface JobReply {

		/**
		 * Answers without a result.
		 * @param status the HTTP status
		 * @param detail what happened, for the caller
		 * @param retryAfter when the caller may come again, or empty
		 */
		void status(int status, String detail, Optional<Duration> retryAfter);

		/**
		 * Answers with a result.
		 * @param body the body
		 * @param type its content type
		 */
		void body(byte[] body, String type);

	}

}
