package org.ragworthook.gateway.process;

import java.util.Objects;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.gateway.metrics.GatewayMetrics;

/**
 * Serves the metrics of this process at {@code /metrics}.
 */
final class MetricsHandler implements Handler<HttpServerRequest> {

	private final GatewayMetrics metrics;

	MetricsHandler(GatewayMetrics metrics) {
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	@Override
	public void handle(HttpServerRequest request) {
		if (!"/metrics".equals(request.path())) {
			request.response().setStatusCode(404).end();
			return;
		}
		request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(this.metrics.scrape());
	}

}
