package org.ragworthook.cli.command;

import org.kohsuke.args4j.Argument;
import org.ragworthook.cli.output.ExitCode;

/**
 * Follows a batch job to its end with a progress bar.
 */
public final class WatchCommand implements Command {

	@Argument(metaVar = "JOB", required = true, usage = "the job's id")
	private String job;

	@Override
	public ExitCode run(Session session) {
		return JobWatch.until(session, this.job);
	}

}
