package org.ragworthook.daemon.http;

import java.util.function.BooleanSupplier;

import io.vertx.ext.web.Router;

/**
 * Health and metrics: {@code /healthz}, {@code /readyz}, {@code /metrics}.
 */
public final class HealthRoutes {

	private static final int UNAVAILABLE = 503;

	private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

	private HealthRoutes() {
	}

	/**
	 * Adds the routes.
	 * @param router where to add them
	 * @param metrics what {@code /metrics} shows
	 * @param ready whether new requests should be sent here
	 */
	public static void mount(Router router, Metrics metrics, BooleanSupplier ready) {
		router.get("/healthz").handler((routing) -> routing.response().end("ok\n"));
		router.get("/readyz").handler((routing) -> {
			boolean now = ready.getAsBoolean();
			routing.response().setStatusCode(now ? 200 : UNAVAILABLE).end(now ? "ready\n" : "not ready\n");
		});
		router.get("/metrics")
			.handler((routing) -> routing.response().putHeader("Content-Type", PROMETHEUS).end(metrics.scrape()));
	}

}
