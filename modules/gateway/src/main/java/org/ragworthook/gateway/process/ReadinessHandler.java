package org.ragworthook.gateway.process;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.log.EventLog;

/**
 * Tells the balancer whether this process wants new connections.
 */
final class ReadinessServer implements Handler<HttpServerRequest> {

	private static final EventLog LOG = EventLog.of(ReadinessServer.class);

	private final BooleanSupplier ready;

	private boolean last;

	ReadinessServer(BooleanSupplier ready) {
		this.ready = Objects.requireNonNull(ready, "ready is null");
	}

	@Override
	public void handle(HttpServerRequest request) {
		boolean now = this.ready.getAsBoolean();
		if (now != this.last) {
			this.last = now;
			LOG.info("readiness", "ready", now);
		}
		request.response().setStatusCode(now ? 200 : 503).end();
	}

}
