package org.ragworthook.standin.command;

import java.time.Duration;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.standin.platform.InstanceListApi;
import org.ragworthook.standin.platform.ObjectApi;

/**
 * Runs the object API and the list of instances in one process.
 */
public final class PlatformCommand implements Subcommand {

	@Option(name = "--port", usage = "port of the object API; the list of instances takes the next one", metaVar = "N")
	private int port = 7001;

	@Option(name = "--lag-ms", usage = "milliseconds after which a change of the list shows", metaVar = "MS")
	private long lagMillis = 2_000;

	@Override
	public int run() {
		Servers.on(Vertx.vertx())
			.add("object-api", new ObjectApi(this.port))
			.add("instances", new InstanceListApi(this.port + 1, Duration.ofMillis(this.lagMillis)))
			.announce();
		return STAYS_UP;
	}

}
