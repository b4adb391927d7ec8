package org.ragworthook.gateway.process;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;

/**
 * Tells the balancer whether this process wants new connections.
 */
final class ReadinessServer {

	private static final EventLog LOG = EventLog.of(ReadinessServer.class);

	private final HttpServer server;

	private final BooleanSupplier ready;

	private boolean last;

	ReadinessServer(Vertx vertx, BooleanSupplier ready) {
		this.ready = Objects.requireNonNull(ready, "ready is null");
		this.server = vertx.createHttpServer().requestHandler((request) -> {
			boolean now = this.ready.getAsBoolean();
			if (now != this.last) {
				this.last = now;
				LOG.info("readiness", "ready", now);
			}
			request.response().setStatusCode(now ? 200 : 503).end();
		});
	}

	Future<Void> listen(Address address) {
		return this.server.listen(address.port(), address.host()).mapEmpty();
	}

}
