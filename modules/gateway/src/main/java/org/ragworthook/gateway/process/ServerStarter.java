package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;

/**
 * Starts servers, and retries while a port cannot be bound: the process that this one
 * replaces may hold the port for a moment longer.
 */
final class ServerStarter {

	private static final EventLog LOG = EventLog.of(ServerStarter.class);

	private static final Duration RETRY_DELAY = Duration.ofMillis(200);

	private final Vertx vertx;

	private final Timers timers;

	private final BooleanSupplier leaving;

	ServerStarter(Vertx vertx, Timers timers, BooleanSupplier leaving) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.leaving = Objects.requireNonNull(leaving, "leaving is null");
	}

	/**
	 * Starts an HTTP server.
	 * @param name the name of the server in the log
	 * @param address the address to listen on
	 * @param handler answers the requests
	 */
	void start(String name, Address address, Handler<HttpServerRequest> handler) {
		start(name,
				() -> this.vertx.createHttpServer()
					.requestHandler(handler)
					.listen(address.port(), address.host())
					.mapEmpty());
	}

	/**
	 * Starts a server.
	 * @param name the name of the server in the log
	 * @param server makes one attempt to listen
	 */
	void start(String name, Supplier<Future<Void>> server) {
		server.get().onComplete((done) -> {
			if (done.succeeded()) {
				LOG.info("listening", "for", name);
				return;
			}
			LOG.warning("not_listening", "for", name, "error", done.cause());
			if (!this.leaving.getAsBoolean()) {
				this.timers.schedule(RETRY_DELAY, () -> start(name, server));
			}
		});
	}

}
