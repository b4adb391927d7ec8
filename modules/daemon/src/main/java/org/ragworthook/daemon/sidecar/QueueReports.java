package org.ragworthook.daemon.sidecar;

import java.util.Objects;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.objectapi.http.HttpClients;

/**
 * Reads from an engine's Prometheus page how many requests wait in its own queue. The
 * page lags, but a limit that is far too high shows on it however evenly slow the first
 * tokens are. An upstream without such a page is asked once only.
 */
final class QueueReports {

	private static final long PERIOD_MILLIS = 1_000;

	private static final long PATIENCE_MILLIS = 2_000;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	/** Many times the page of an engine. */
	private static final int MAX_PAGE_BYTES = 8 << 20;

	private static final Pattern WAITING = Pattern.compile("(?m)^vllm:num_requests_waiting(?:\\{[^}]*})? ([0-9.]+)");

	private final Vertx vertx;

	private final UpstreamClient upstream;

	private final IntConsumer waiting;

	private QueueReports(Vertx vertx, UpstreamClient upstream, IntConsumer waiting) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.waiting = Objects.requireNonNull(waiting, "waiting is null");
	}

	/**
	 * Starts to read the page, on the current context.
	 * @param vertx carries the timer
	 * @param upstream the engine
	 * @param waiting takes the number of requests in the engine's queue
	 */
	static void follow(Vertx vertx, UpstreamClient upstream, IntConsumer waiting) {
		new QueueReports(vertx, upstream, waiting).later();
	}

	private void later() {
		this.vertx.setTimer(PERIOD_MILLIS, (ignored) -> read());
	}

	private void read() {
		this.upstream.http()
			.request(this.upstream.options(HttpMethod.GET, "/metrics").setIdleTimeout(PATIENCE_MILLIS))
			.compose((request) -> request.send())
			.compose((response) -> HttpClients.body(response, MAX_PAGE_BYTES)
				.map((body) -> response.statusCode() != NOT_FOUND && take(body.toString(), response.statusCode())))
			.onComplete((page) -> {
				// An engine that is away for a while has a page again when it is back.
				if (page.failed() || page.result()) {
					later();
				}
			});
	}

	private boolean take(String page, int status) {
		Matcher found = WAITING.matcher(page);
		if (!found.find()) {
			// An engine that starts may answer with an error for a while.
			return status != OK;
		}
		this.waiting.accept((int) Double.parseDouble(found.group(1)));
		return true;
	}

}
