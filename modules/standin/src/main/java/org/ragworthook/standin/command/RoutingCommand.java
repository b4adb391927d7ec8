package org.ragworthook.standin.command;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.bench.RoutingBench;

/**
 * Measures the choice of an upstream.
 */
public final class RoutingCommand implements Subcommand {

	@Option(name = "--seed", usage = "of the random numbers", metaVar = "N")
	private long seed = 1;

	@Override
	public int run() {
		new RoutingBench(this.seed).run().forEach(System.out::println);
		return 0;
	}

}
