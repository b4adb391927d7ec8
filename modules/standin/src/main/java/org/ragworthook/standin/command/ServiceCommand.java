package org.ragworthook.standin.command;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.standin.service.PlainService;

/**
 * Runs a plain service.
 */
public final class ServiceCommand implements Subcommand {

	@Option(name = "--port", usage = "port to listen on, 0 for any", metaVar = "N")
	private int port = 9000;

	@Option(name = "--delay-ms", usage = "milliseconds that a call takes", metaVar = "MS")
	private long delayMillis = 20;

	@Override
	public int run() {
		Servers.on(Vertx.vertx()).add("service", new PlainService(this.port, this.delayMillis)).announce();
		return STAYS_UP;
	}

}
