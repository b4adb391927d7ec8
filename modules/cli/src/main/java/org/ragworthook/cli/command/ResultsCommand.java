package org.ragworthook.cli.command;

import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragworthook.cli.entry.CliException;
import org.ragworthook.cli.output.ExitCode;

/**
 * Reads the results of a batch job.
 */
public final class ResultsCommand implements Command {

	@Argument(metaVar = "JOB", required = true, usage = "the job's id")
	private String job;

	@Option(name = "--errors", usage = "read the items that failed instead")
	private boolean errors;

	@Option(name = "--to", metaVar = "FILE", usage = "write them there (standard output)")
	private Path file;

	@Override
	public ExitCode run(Session session) {
		JsonNode found = session.entry().fetch("/v1/batches/" + Session.encode(this.job)).json();
		String id = found.path(this.errors ? "error_file_id" : "output_file_id").asText("");
		if (id.isEmpty() || "null".equals(id)) {
			throw new CliException(ExitCode.REFUSED, "job " + this.job + " is " + found.path("status").asText()
					+ " and has no such file; follow it with 'ragworthook watch " + this.job + "'");
		}
		byte[] content = session.entry().fetch("/v1/files/" + Session.encode(id) + "/content").body().getBytes();
		if (this.file == null) {
			session.out().writeBytes(content);
		}
		else {
			Session.write(this.file, content);
		}
		return ExitCode.OK;
	}

}
