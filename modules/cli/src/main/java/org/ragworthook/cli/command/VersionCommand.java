package org.ragworthook.cli.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Report;

/**
 * Prints the version of this program.
 */
public final class VersionCommand implements Command {

	private static final String VERSION = "0.1.0";

	@Override
	public ExitCode run(Session session) {
		session.printer()
			.print(Report.of(new ObjectMapper().createObjectNode().put("version", VERSION), "PROGRAM", "VERSION")
				.row("ragworthook", VERSION));
		return ExitCode.OK;
	}

}
