package org.ragworthook.gateway.process;

import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.gateway.metrics.GatewayMetrics;

/**
 * Shows the metrics of this process at {@code /metrics}.
 */
final class MetricsServer {

	private final Vertx vertx;

	private final GatewayMetrics metrics;

	MetricsServer(Vertx vertx, GatewayMetrics metrics) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	Future<Void> listen(Address address) {
		return this.vertx.createHttpServer()
			.requestHandler(this::handle)
			.listen(address.port(), address.host())
			.mapEmpty();
	}

	private void handle(HttpServerRequest request) {
		if (!"/metrics".equals(request.path())) {
			request.response().setStatusCode(404).end();
			return;
		}
		request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(this.metrics.text());
	}

}
