package org.ragworthook.daemon.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.job.FileId;
import org.ragworthook.core.job.ItemSender;
import org.ragworthook.core.job.JobCanceller;
import org.ragworthook.core.job.JobId;
import org.ragworthook.core.job.JobIntake;
import org.ragworthook.core.job.JobRecord;
import org.ragworthook.core.job.JobResults;
import org.ragworthook.core.job.JobSpec;
import org.ragworthook.core.job.JobStatus;

/**
 * Calls to batch jobs.
 */
final class JobRoutes {

	private static final int PAGE = 20;

	private static final Pattern WINDOW = Pattern.compile("([1-9][0-9]{0,4})([mhd])");

	private static final String STANDARD_WINDOW = "24h";

	private final JobIntake jobs;

	private final JobCanceller cancels;

	private final JobResults results;

	private final ItemSender sender;

	JobRoutes(JobIntake jobs, JobCanceller cancels, JobResults results, ItemSender sender) {
		this.jobs = Objects.requireNonNull(jobs, "jobs is null");
		this.cancels = Objects.requireNonNull(cancels, "cancels is null");
		this.results = Objects.requireNonNull(results, "results is null");
		this.sender = Objects.requireNonNull(sender, "sender is null");
	}

	void create(BatchCall call) {
		call.answer(this.jobs.accept(spec(call)).thenApply(JobRoutes::json));
	}

	private static JobSpec spec(BatchCall call) {
		try {
			JsonObject body = call.routing().body().asJsonObject();
			if (body == null) {
				throw malformed("the body is empty");
			}
			String input = text(body, "input_file_id");
			FileId file = FileId.parse(input)
				.orElseThrow(() -> new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + input));
			return new JobSpec(call.account(), call.idempotencyKey(), file, text(body, "endpoint"),
					window(body.getString("completion_window", STANDARD_WINDOW)), metadata(body));
		}
		catch (DecodeException | ClassCastException ex) {
			throw new JobException(ErrorCode.JOB_MALFORMED, "the body cannot be read: " + ex.getMessage(), ex);
		}
	}

	private static String text(JsonObject body, String key) {
		String value = body.getString(key);
		if (value == null || value.isEmpty()) {
			throw malformed("the body has no text '" + key + "'");
		}
		return value;
	}

	private static Map<String, String> metadata(JsonObject body) {
		Map<String, String> metadata = new HashMap<>();
		body.getJsonObject("metadata", new JsonObject())
			.forEach((entry) -> metadata.put(entry.getKey(), String.valueOf(entry.getValue())));
		return metadata;
	}

	static Duration window(String text) {
		Matcher matcher = WINDOW.matcher(text);
		if (!matcher.matches()) {
			throw malformed("completion_window '" + text + "' is not a number with m, h or d");
		}
		long count = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "m" -> Duration.ofMinutes(count);
			case "h" -> Duration.ofHours(count);
			default -> Duration.ofDays(count);
		};
	}

	private static JobException malformed(String detail) {
		return new JobException(ErrorCode.JOB_MALFORMED, detail);
	}

	void read(BatchCall call) {
		JobId id = call.jobId();
		call.answer(this.results.job(call.account(), id)
			.thenApply((found) -> json(
					found.orElseThrow(() -> new JobException(ErrorCode.JOB_NOT_FOUND, "no job " + id.id())))));
	}

	void list(BatchCall call) {
		call.answer(this.results.jobs(call.account())
			.thenApply((jobs) -> call.page(jobs.stream().map(JobRoutes::json).toList(), PAGE)));
	}

	// Sidecars are told before the cancel is acknowledged: the owner of the shard hears
	// of
	// it by its watch, which may lag.
	void cancel(BatchCall call) {
		call.answer(this.cancels.cancel(call.account(), call.jobId()).thenApply((job) -> {
			this.sender.cancel(job.id());
			return json(job);
		}));
	}

	// -- shape

	static JsonObject json(JobRecord job) {
		boolean ended = job.status().ended();
		int others = job.items() - job.counts().completed();
		JsonObject json = new JsonObject().put("id", job.id().id())
			.put("object", "batch")
			.put("endpoint", job.endpoint())
			.putNull("errors")
			.put("input_file_id", job.inputFile())
			.put("completion_window", window(job.windowSeconds()))
			.put("status", job.status().name().toLowerCase(Locale.ROOT))
			.put("output_file_id", (ended && job.counts().completed() > 0) ? FileId.outputOf(job.id()).id() : null)
			.put("error_file_id", (ended && others > 0) ? FileId.errorsOf(job.id()).id() : null);
		times(json, job);
		return json
			.put("request_counts",
					new JsonObject().put("total", job.items())
						.put("completed", job.counts().completed())
						.put("failed", job.counts().failed()))
			.put("metadata", new JsonObject(new HashMap<>(job.metadata())));
	}

	private static void times(JsonObject json, JobRecord job) {
		boolean cancelled = job.status() == JobStatus.CANCELLED;
		json.put("created_at", seconds(job.createdMillis()))
			.put("in_progress_at", seconds(job.createdMillis()))
			.put("expires_at", seconds(job.dueMillis()))
			.putNull("finalizing_at")
			.put("completed_at", (job.status() == JobStatus.COMPLETED) ? seconds(job.endedMillis()) : null)
			.putNull("failed_at")
			.putNull("expired_at")
			.put("cancelling_at", (job.cancelMillis() > 0) ? seconds(job.cancelMillis()) : null)
			.put("cancelled_at", cancelled ? seconds(job.endedMillis()) : null)
			.put("expected_at", (job.expectedMillis() > 0) ? seconds(job.expectedMillis()) : null)
			.put("late", job.late());
	}

	private static Long seconds(long millis) {
		return millis / 1000;
	}

	private static String window(long seconds) {
		long hours = seconds / 3600;
		return (hours * 3600 == seconds) ? hours + "h" : (seconds / 60) + "m";
	}

}
