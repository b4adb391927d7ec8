package org.ragworthook.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Report;

/**
 * Lists the accepted changes.
 */
public final class HistoryCommand implements Command {

	@Override
	public ExitCode run(Session session) {
		JsonNode answer = session.entry().fetch("/admin/v1/history").json();
		Report report = Report.of(answer, "VERSION", "AUTHOR", "ACCEPTED", "REASON");
		answer.path("changes")
			.forEach((change) -> report.row(change.path("version").asText(), change.path("author").asText(),
					change.path("accepted").asText(), change.path("reason").asText()));
		session.printer().print(report);
		return ExitCode.OK;
	}

}
