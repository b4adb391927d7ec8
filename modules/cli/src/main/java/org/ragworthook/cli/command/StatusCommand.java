package org.ragworthook.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Report;

/**
 * Shows by which version each process acts.
 */
public final class StatusCommand implements Command {

	@Override
	public ExitCode run(Session session) {
		JsonNode answer = session.entry().fetch("/admin/v1/status").json();
		Report report = Report.of(answer, "INSTANCE", "ROLE", "FAILURE DOMAIN", "VERSION", "LAG");
		answer.path("processes")
			.forEach((process) -> report.row(process.path("instance").asText(), process.path("role").asText(),
					process.path("failureDomain").asText(), process.path("version").asText(),
					process.path("lag").asText()));
		session.printer().print(report);
		answer.path("repeatedFailures")
			.forEach((failure) -> session.errors()
				.println(failure.path("upstream").asText() + ": " + failure.path("detail").asText() + ", failed "
						+ failure.path("failures").asText() + " times, next try in "
						+ failure.path("retrySeconds").asText() + " s"));
		return ExitCode.OK;
	}

}
