package org.ragworthook.standin.command;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.demo.BatchBench;
import org.ragworthook.standin.demo.DemoOptions;
import org.ragworthook.standin.demo.PlanOptions;

/**
 * Measures what batch does to online and how much of the idle capacity it uses.
 */
public final class BenchBatchCommand extends PlanOptions implements Subcommand {

	@Option(name = "--seconds", usage = "how long load is sent", metaVar = "N")
	private int seconds = 80;

	@Option(name = "--window", usage = "seconds that batch is on and off by turns", metaVar = "N")
	private double window = 8;

	@Option(name = "--rate", usage = "online calls a second", metaVar = "N")
	private double rate = 40;

	@Option(name = "--seed", usage = "makes the load repeatable", metaVar = "N")
	private long seed = 1;

	@Override
	public int run() {
		DemoOptions options = new DemoOptions(this.seconds, false, this.rate, 0, 0, this.seed);
		return new BatchBench(plan(), options, this.window).run();
	}

}
