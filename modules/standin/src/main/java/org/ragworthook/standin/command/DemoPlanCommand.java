package org.ragworthook.standin.command;

import java.nio.file.Path;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.demo.PlanOptions;

/**
 * Writes the settings of a demonstration's processes.
 */
public final class DemoPlanCommand extends PlanOptions implements Subcommand {

	@Option(name = "--folder", usage = "where to write", metaVar = "FOLDER", required = true)
	private Path folder;

	@Override
	public int run() {
		write(this.folder);
		return 0;
	}

}
