package org.ragworthook.standin.command;

import org.kohsuke.args4j.Option;
import org.ragworthook.standin.bench.BatchBench;

/**
 * Measures the batch parts of the core.
 */
public final class BatchCommand implements Subcommand {

	@Option(name = "--seed", usage = "of the random numbers", metaVar = "N")
	private long seed = 1;

	@Override
	public int run() {
		new BatchBench(this.seed).run(System.out::println);
		return 0;
	}

}
