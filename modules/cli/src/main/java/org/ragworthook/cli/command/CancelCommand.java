package org.ragworthook.cli.command;

import java.util.Map;

import io.vertx.core.http.HttpMethod;
import org.kohsuke.args4j.Argument;
import org.ragworthook.cli.output.ExitCode;

/**
 * Stops a batch job.
 */
public final class CancelCommand implements Command {

	@Argument(metaVar = "JOB", required = true, usage = "the job's id")
	private String job;

	@Override
	public ExitCode run(Session session) {
		String path = "/v1/batches/" + Session.encode(this.job) + "/cancel";
		session.printer().print(JobWatch.report(session.entry().send(HttpMethod.POST, path, Map.of(), "").json()));
		return ExitCode.OK;
	}

}
