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
import org.ragworthook.gateway.dialect.JobCall;
import org.ragworthook.gateway.dialect.JobFormat;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.job.JobIds;
import org.ragworthook.gateway.job.JobItem;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobStore;
import org.ragworthook.gateway.route.Route;

/**
 * Answers the calls about batch jobs. Whatever is answered with success is in the
 * platform's store; while the store does not answer, callers are told to come again.
 */
final class JobDesk {

	private static final EventLog LOG = EventLog.of(JobDesk.class);

	private static final int MAX_ITEMS = 200;

	private static final int MAX_ID = 100;

	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

	private final JobStore store;

	private final JobReader reader;

	private final JobFormat format;

	private final JobAdmission admission;

	private final Executor loop;

	private final Supplier<Long> wallMillis;

	JobDesk(JobStore store, JobReader reader, JobFormat format, JobAdmission admission, Executor loop,
			Supplier<Long> wallMillis) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.reader = Objects.requireNonNull(reader, "reader is null");
		this.format = Objects.requireNonNull(format, "format is null");
		this.admission = Objects.requireNonNull(admission, "admission is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
	}

	JobFormat format() {
		return this.format;
	}

	/**
	 * Takes a job.
	 * @param chosenId its id, as its caller chose it
	 * @param account whose job it is
	 * @param host the host that it was submitted to
	 * @param path the path that it was submitted to
	 * @param route its route
	 * @param version the version of the configuration that the route is from
	 * @param body the items
	 * @param reply takes the answer
	 */
	void submit(String chosenId, Optional<String> account, String host, String path, Route route, long version,
			byte[] body, JobReply reply) {
		String jobId = JobIds.qualified(account, chosenId);
		List<JobItem> items;
		try {
			items = this.format.items(body);
			check(chosenId, items);
		}
		catch (JobException ex) {
			LOG.info("job_malformed", "job", jobId, "error", ex.getMessage());
			reply.status(ex.code().httpStatus(), ex.getMessage(), Optional.empty());
			return;
		}
		long tokens = items.stream().mapToLong(JobItem::tokens).sum();
		Job job = new Job(jobId, account, host, path, this.wallMillis.get(), version, items.size(), 0, tokens, false,
				items);
		this.admission.submit(job, route, reply);
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
	 * Answers a call about a job.
	 * @param asked the call, with the job's id as its caller chose it
	 * @param account who calls
	 * @param wait how long a read may wait
	 * @param reply takes the answer
	 */
	void handle(JobCall asked, Optional<String> account, Duration wait, JobReply reply) {
		JobCall call = new JobCall(asked.action(), JobIds.qualified(account, asked.jobId()), asked.position(),
				asked.itemId());
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
				unsure(call, failure, reply);
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
				unsure(call, failure, reply);
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
				unsure(call, failure, reply);
			}
			else if (found) {
				LOG.info("job_end_accepted", "job", call.jobId());
				this.admission.ended(call.jobId());
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

	private static void unsure(JobCall call, Throwable failure, JobReply reply) {
		LOG.warning("job_call_failed", "job", call.jobId(), "action", call.action(), "error", Failures.root(failure));
		reply.status(503, "the store does not answer", Optional.of(DEFAULT_RETRY_AFTER));
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
