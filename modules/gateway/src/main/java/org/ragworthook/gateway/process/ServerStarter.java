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
 * Listens, and tries again while it cannot: the process before this one may hold the port
 * for a moment longer.
 */
final class Listening {

	private static final EventLog LOG = EventLog.of(Listening.class);

	private static final Duration AGAIN = Duration.ofMillis(200);

	private final Vertx vertx;

	private final Timers timers;

	private final BooleanSupplier leaving;

	Listening(Vertx vertx, Timers timers, BooleanSupplier leaving) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.leaving = Objects.requireNonNull(leaving, "leaving is null");
	}

	/**
	 * Listens for requests that are answered at once.
	 * @param what for whom, for the log
	 * @param address where
	 * @param handler answers
	 */
	void start(String what, Address address, Handler<HttpServerRequest> handler) {
		start(what,
				() -> this.vertx.createHttpServer()
					.requestHandler(handler)
					.listen(address.port(), address.host())
					.mapEmpty());
	}

	/**
	 * Has a server listen.
	 * @param what for whom, for the log
	 * @param server begins to listen
	 */
	void start(String what, Supplier<Future<Void>> server) {
		server.get().onComplete((done) -> {
			if (done.succeeded()) {
				LOG.info("listening", "for", what);
				return;
			}
			LOG.warning("not_listening", "for", what, "error", done.cause());
			if (!this.leaving.getAsBoolean()) {
				this.timers.schedule(AGAIN, () -> start(what, server));
			}
		});
	}

}
