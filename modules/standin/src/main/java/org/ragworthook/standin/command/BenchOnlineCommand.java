package org.ragworthook.standin.command;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.demo.DemoOptions;
import org.ragworthook.standin.demo.OnlineBench;
import org.ragworthook.standin.demo.PlanOptions;

/**
 * Measures the latency that entry and sidecar add.
 */
public final class BenchOnlineCommand extends PlanOptions implements Subcommand {

	@Option(name = "--seconds", usage = "how long load is sent", metaVar = "N")
	private int seconds = 60;

	@Option(name = "--rate", usage = "calls a second, half of them direct", metaVar = "N")
	private double rate = 40;

	@Option(name = "--seed", usage = "makes the load repeatable", metaVar = "N")
	private long seed = 1;

	@Override
	public int run() {
		return new OnlineBench(plan(), new DemoOptions(this.seconds, false, this.rate, 0, 0, this.seed)).run();
	}

}
