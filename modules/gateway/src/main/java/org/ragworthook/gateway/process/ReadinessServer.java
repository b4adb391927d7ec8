package org.ragworthook.gateway.process;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;

/**
 * Tells the balancer whether this process wants new connections.
 */
final class ReadinessServer {

	private static final EventLog LOG = EventLog.of(ReadinessServer.class);

	private final Vertx vertx;

	private final BooleanSupplier ready;

	private boolean last;

	ReadinessServer(Vertx vertx, BooleanSupplier ready) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.ready = Objects.requireNonNull(ready, "ready is null");
	}

	Future<Void> listen(Address address) {
		return this.vertx.createHttpServer()
			.requestHandler(this::handle)
			.listen(address.port(), address.host())
			.mapEmpty();
	}

	private void handle(HttpServerRequest request) {
		boolean now = this.ready.getAsBoolean();
		if (now != this.last) {
			this.last = now;
			LOG.info("readiness", "ready", now);
		}
		request.response().setStatusCode(now ? 200 : 503).end();
	}

}
