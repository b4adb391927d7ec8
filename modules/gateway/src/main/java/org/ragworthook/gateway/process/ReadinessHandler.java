package org.ragworthook.gateway.process;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.log.EventLog;

/**
 * Answers the balancer whether this process accepts new connections: 200 if so, otherwise
 * 503.
 */
final class ReadinessHandler implements Handler<HttpServerRequest> {

	private static final EventLog LOG = EventLog.of(ReadinessHandler.class);

	private final BooleanSupplier ready;

	private boolean last;

	ReadinessHandler(BooleanSupplier ready) {
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
