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

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.gateway.dialect.JobFormat;
import org.ragworthook.gateway.dialect.JobRequest;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.job.JobIds;
import org.ragworthook.gateway.job.JobItem;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobStore;
import org.ragworthook.gateway.route.Route;

/**
 * Handles the requests about batch jobs. A success is sent only for what the platform's
 * store has; while the store does not answer, callers are asked to retry.
 */
final class JobRequestHandler {

	private static final EventLog LOG = EventLog.of(JobRequestHandler.class);

	private static final int MAX_ITEMS = 200;

	private static final int MAX_ID_LENGTH = 100;

	private static final int DELETE = 0x7f;

	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

	private final JobStore store;

	private final JobReader reader;

	private final JobFormat format;

	private final JobAdmission admission;

	private final Executor loop;

	private final Supplier<Long> wallMillis;

	JobRequestHandler(JobStore store, JobReader reader, JobFormat format, JobAdmission admission, Executor loop,
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
	 * Handles the submission of a job.
	 * @param callerJobId the job's id, as its caller chose it
	 * @param account the account that the job belongs to, or empty for none
	 * @param host the host that the job was submitted to
	 * @param path the path that the job was submitted to
	 * @param route the job's route
	 * @param version the version of the configuration that the route is from
	 * @param body the body of the request, which states the items
	 * @param response receives the response
	 */
	void submit(String callerJobId, Optional<String> account, String host, String path, Route route, long version,
			byte[] body, JobResponse response) {
		String jobId = JobIds.qualified(account, callerJobId);
		List<JobItem> items;
		try {
			items = this.format.parseItems(body);
			validate(callerJobId, items);
		}
		catch (JobException ex) {
			LOG.info("job_malformed", "job", jobId, "error", ex.getMessage());
			response.status(ex.code().httpStatus(), ex.getMessage(), Optional.empty());
			return;
		}
		long tokens = items.stream().mapToLong(JobItem::tokens).sum();
		Job job = new Job(jobId, account, host, path, this.wallMillis.get(), version, items.size(), 0, tokens, false,
				items);
		this.admission.submit(job, route, response);
	}

	private static void validate(String jobId, List<JobItem> items) {
		Set<String> ids = new HashSet<>();
		items.forEach((item) -> ids.add(item.id()));
		if (jobId.length() > MAX_ID_LENGTH) {
			throw new JobException(ErrorCode.JOB_MALFORMED,
					"the job's id is longer than " + MAX_ID_LENGTH + " characters");
		}
		if (items.isEmpty() || items.size() > MAX_ITEMS) {
			throw new JobException(ErrorCode.JOB_MALFORMED,
					"the job has " + items.size() + " items; 1 to " + MAX_ITEMS + " are taken");
		}
		if (ids.size() < items.size()) {
			throw new JobException(ErrorCode.JOB_MALFORMED, "two items of the job have the same id");
		}
		if (!items.stream().allMatch(JobRequestHandler::canBeSent)) {
			throw new JobException(ErrorCode.JOB_MALFORMED,
					"the path or a header of an item contains characters that a request cannot have there");
		}
	}

	/**
	 * Returns whether an item can be sent as one request. A line break in its path or
	 * headers would end the request early and begin another one.
	 * @param item the item
	 * @return whether its path and headers are valid
	 */
	private static boolean canBeSent(JobItem item) {
		return !item.path().isEmpty() && item.path().chars().allMatch((next) -> next > ' ' && next != DELETE)
				&& item.headers()
					.entrySet()
					.stream()
					.allMatch((header) -> HttpHeaderValidationUtil.validateToken(header.getKey()) < 0
							&& !header.getKey().isEmpty()
							&& header.getValue().chars().allMatch(JobRequestHandler::isValueCharacter));
	}

	private static boolean isValueCharacter(int next) {
		return next == '\t' || next >= ' ' && next != DELETE;
	}

	/**
	 * Handles a request about a job that was submitted before.
	 * @param received the request, with the job's id as its caller chose it
	 * @param account the account of the caller, or empty for none
	 * @param wait how long a read of results may wait for new ones
	 * @param response receives the response
	 */
	void handle(JobRequest received, Optional<String> account, Duration wait, JobResponse response) {
		JobRequest request = new JobRequest(received.action(), JobIds.qualified(account, received.jobId()),
				received.position(), received.itemId());
		switch (request.action()) {
			case RESULTS -> results(request, wait, response);
			case ITEM_BODY -> body(request, response);
			case END -> end(request, response);
			case MALFORMED -> response.status(400, "the call cannot be understood", Optional.empty());
		}
	}

	private void results(JobRequest request, Duration wait, JobResponse response) {
		this.reader.results(request.jobId(), request.position(), wait).whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				storeFailed(request, failure, response);
			}
			else if (page.isEmpty()) {
				notFound(request, response);
			}
			else {
				response.body(
						this.format.formatResults(page.get().total(), page.get().position(), page.get().outcomes()),
						"application/json");
			}
		}, this.loop);
	}

	private void body(JobRequest request, JobResponse response) {
		this.reader.body(request.jobId(), request.itemId()).whenCompleteAsync((body, failure) -> {
			if (failure != null) {
				storeFailed(request, failure, response);
			}
			else if (body.isEmpty()) {
				notFound(request, response);
			}
			else {
				response.body(Base64.getDecoder().decode(body.get()), "application/octet-stream");
			}
		}, this.loop);
	}

	private void end(JobRequest request, JobResponse response) {
		this.store.end(request.jobId()).whenCompleteAsync((found, failure) -> {
			if (failure != null && mayHaveEffect(failure)) {
				LOG.warning("job_end_unknown", "job", request.jobId(), "error", Failures.root(failure));
				response.status(500, "the job may have been ended; send the call again",
						Optional.of(DEFAULT_RETRY_AFTER));
			}
			else if (failure != null) {
				storeFailed(request, failure, response);
			}
			else if (found) {
				LOG.info("job_end_accepted", "job", request.jobId());
				this.admission.ended(request.jobId());
				response.status(200, "", Optional.empty());
			}
			else {
				notFound(request, response);
			}
		}, this.loop);
	}

	private static boolean mayHaveEffect(Throwable failure) {
		return ConditionalWriter.codeOf(failure)
			.filter((code) -> code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_RATE_LIMITED)
			.isEmpty();
	}

	private static void notFound(JobRequest request, JobResponse response) {
		LOG.info("job_not_found", "job", request.jobId(), "action", request.action(), "item", request.itemId());
		response.status(404, "there is no such job or item", Optional.empty());
	}

	private static void storeFailed(JobRequest request, Throwable failure, JobResponse response) {
		LOG.warning("job_call_failed", "job", request.jobId(), "action", request.action(), "error",
				Failures.root(failure));
		response.status(503, "the store does not answer", Optional.of(DEFAULT_RETRY_AFTER));
	}

	/**
	 * Receives the response to a request about batch jobs.
	 */
	interface JobResponse {

		/**
		 * Sends a status without a result.
		 * @param status the HTTP status
		 * @param detail a message for the caller
		 * @param retryAfter the time after which the caller may retry, or empty for no
		 * {@code Retry-After}
		 */
		void status(int status, String detail, Optional<Duration> retryAfter);

		/**
		 * Sends a result with status 200.
		 * @param body the body
		 * @param type the body's media type
		 */
		void body(byte[] body, String type);

	}

}
