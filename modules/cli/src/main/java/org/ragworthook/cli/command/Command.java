package org.ragworthook.cli.command;

import org.ragworthook.cli.output.ExitCode;

/**
 * A command. Its options are fields that args4j fills in.
 */
@FunctionalInterface
public interface Command {

	/**
	 * Runs the command.
	 * @param session what the command works with
	 * @return how it ended
	 * @throws org.ragworthook.cli.entry.CliException if it cannot go on
	 */
	ExitCode run(Session session);

}
