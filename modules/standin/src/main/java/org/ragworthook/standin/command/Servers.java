package org.ragworthook.standin.command;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;

import io.vertx.core.Vertx;
import org.ragworthook.standin.StandInServer;

/**
 * The servers of one process of stand-ins.
 */
final class Servers {

	private final Vertx vertx;

	private final Map<String, Integer> ports = new LinkedHashMap<>();

	private Servers(Vertx vertx) {
		this.vertx = vertx;
	}

	static Servers on(Vertx vertx) {
		return new Servers(vertx);
	}

	/**
	 * Deploys a server and waits until it listens.
	 * @param name the name to announce it by
	 * @param server the server
	 * @return these servers
	 */
	Servers add(String name, StandInServer server) {
		try {
			this.ports.put(name, server.deploy(this.vertx).toCompletionStage().toCompletableFuture().join());
		}
		catch (CompletionException ex) {
			this.vertx.close();
			throw new IllegalStateException(name + " could not listen: " + ex.getCause().getMessage(), ex);
		}
		return this;
	}

	/**
	 * Prints where each server listens, one line each, and then {@code ready}.
	 */
	void announce() {
		this.ports.forEach((name, port) -> System.out.println(name + "=http://" + StandInServer.HOST + ":" + port));
		System.out.println("ready");
	}

}
