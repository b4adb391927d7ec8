package org.ragworthook.standin.command;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.standin.service.WeightStore;

/**
 * Runs a weight store.
 */
public final class WeightsCommand implements Subcommand {

	@Option(name = "--port", usage = "port to listen on, 0 for any", metaVar = "N")
	private int port = 9001;

	@Option(name = "--per-second", usage = "downloads a second", metaVar = "N")
	private double perSecond = 2;

	@Option(name = "--bytes", usage = "size of a file of weights", metaVar = "N")
	private int bytes = 1 << 16;

	@Override
	public int run() {
		Servers.on(Vertx.vertx()).add("weights", new WeightStore(this.port, this.perSecond, this.bytes)).announce();
		return STAYS_UP;
	}

}
