package org.ragworthook.cli.command;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Report;

/**
 * Has an instance finish what it does and take no new work.
 */
public final class DrainCommand implements Command {

	@Argument(metaVar = "INSTANCE", required = true, usage = "the instance, as 'status' names it")
	private String instance;

	@Override
	public ExitCode run(Session session) {
		String path = "/admin/v1/drain/" + Session.encode(this.instance);
		JsonNode answer = session.entry().send(HttpMethod.POST, path, Map.of(), "").json();
		session.printer()
			.print(Report.of(answer, "INSTANCE", "STATE").row(this.instance, answer.path("state").asText()));
		return ExitCode.OK;
	}

}
