package org.ragworthook.standin.command;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.standin.platform.ObjectApi;

/**
 * Runs the object API.
 */
public final class ObjectApiCommand implements Subcommand {

	@Option(name = "--port", usage = "port to listen on, 0 for any", metaVar = "N")
	private int port = 7001;

	@Override
	public int run() {
		Servers.on(Vertx.vertx()).add("object-api", new ObjectApi(this.port)).announce();
		return STAYS_UP;
	}

}
