package org.ragworthook.standin.command;

import java.time.Duration;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.standin.platform.InstanceListApi;

/**
 * Runs the list of instances.
 */
public final class InstancesCommand implements Subcommand {

	@Option(name = "--port", usage = "port to listen on, 0 for any", metaVar = "N")
	private int port = 7002;

	@Option(name = "--lag-ms", usage = "milliseconds after which a change shows", metaVar = "MS")
	private long lagMillis = 2_000;

	@Override
	public int run() {
		Servers.on(Vertx.vertx())
			.add("instances", new InstanceListApi(this.port, Duration.ofMillis(this.lagMillis)))
			.announce();
		return STAYS_UP;
	}

}
