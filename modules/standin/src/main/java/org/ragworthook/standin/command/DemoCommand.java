package org.ragworthook.standin.command;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.demo.DemoOptions;
import org.ragworthook.standin.demo.DemoRun;
import org.ragworthook.standin.demo.PlanOptions;

/**
 * Drives a demonstration whose processes a script has started.
 */
public final class DemoCommand extends PlanOptions implements Subcommand {

	@Option(name = "--seconds", usage = "how long online load is sent, 0 for none", metaVar = "N")
	private int seconds = 60;

	@Option(name = "--hold", usage = "keep the processes up afterwards")
	private boolean hold;

	@Option(name = "--rate", usage = "online calls a second", metaVar = "N")
	private double rate = 30;

	@Option(name = "--items", usage = "items of each batch job", metaVar = "N")
	private int items = 1_500;

	@Option(name = "--wait", usage = "seconds to wait for a job's end", metaVar = "N")
	private int waitSeconds = 120;

	@Option(name = "--seed", usage = "makes the load repeatable", metaVar = "N")
	private long seed = 1;

	@Override
	public int run() {
		DemoOptions options = new DemoOptions(this.seconds, this.hold, this.rate, this.items, this.waitSeconds,
				this.seed);
		return new DemoRun(plan(), options).run();
	}

}
