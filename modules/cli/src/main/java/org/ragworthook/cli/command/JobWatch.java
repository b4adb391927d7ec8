package org.ragworthook.cli.command;

import java.time.Duration;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Progress;
import org.ragworthook.cli.output.Report;

/**
 * Follows a batch job to its end.
 */
final class JobWatch {

	private static final Duration POLL = Duration.ofMillis(500);

	private static final Set<String> ENDED = Set.of("completed", "cancelled", "failed", "expired");

	private JobWatch() {
	}

	static ExitCode until(Session session, String id) {
		try (Progress progress = session.progress()) {
			while (true) {
				JsonNode job = session.entry().fetch("/v1/batches/" + Session.encode(id)).json();
				JsonNode counts = job.path("request_counts");
				long done = counts.path("completed").asLong() + counts.path("failed").asLong();
				progress.show(done, counts.path("total").asLong(),
						"items, " + counts.path("failed").asLong() + " failed");
				if (ENDED.contains(job.path("status").asText())) {
					progress.close();
					session.printer().print(report(job));
					return exitCode(job);
				}
				Session.pause(POLL);
			}
		}
	}

	static Report report(JsonNode job) {
		JsonNode counts = job.path("request_counts");
		return Report.of(job, "JOB", "STATUS", "ITEMS", "COMPLETED", "FAILED")
			.row(job.path("id").asText(), job.path("status").asText(), counts.path("total").asText(),
					counts.path("completed").asText(), counts.path("failed").asText());
	}

	private static ExitCode exitCode(JsonNode job) {
		boolean whole = "completed".equals(job.path("status").asText())
				&& job.path("request_counts").path("failed").asLong() == 0;
		return whole ? ExitCode.OK : ExitCode.FAILED;
	}

}
