package org.ragworthook.daemon.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Objects;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.log.EventLog;

/**
 * Writes errors as the OpenAI API shapes them, with the code and the remedy, and counts
 * them.
 */
public final class ErrorResponses {

	private static final EventLog LOG = EventLog.of(ErrorResponses.class);

	private static final int TOO_LARGE = 413;

	private static final int NOT_FOUND = 404;

	private static final int BAD_REQUEST = 400;

	private static final String EVENT_STREAM = "text/event-stream";

	private final Metrics metrics;

	private ErrorResponses(Metrics metrics) {
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	/**
	 * Returns a writer of errors.
	 * @param metrics counts them
	 * @return the writer
	 */
	public static ErrorResponses of(Metrics metrics) {
		return new ErrorResponses(metrics);
	}

	/**
	 * Answers every failure of a router's routes.
	 * @param router the router
	 */
	public void mount(Router router) {
		router.route().failureHandler((routing) -> write(routing, failure(routing)));
		router.errorHandler(NOT_FOUND, (routing) -> write(routing, new RequestException(ErrorCode.REQUEST_UNKNOWN_PATH,
				"path '" + routing.request().path() + "' is not served")));
	}

	private static Throwable failure(RoutingContext routing) {
		return switch (routing.statusCode()) {
			case TOO_LARGE -> new RequestException(ErrorCode.REQUEST_TOO_LARGE, "the body is too large");
			case BAD_REQUEST ->
				new RequestException(ErrorCode.REQUEST_MALFORMED, "the request cannot be read", routing.failure());
			default -> routing.failure();
		};
	}

	/**
	 * Answers with an error.
	 * @param routing the request
	 * @param failure what went wrong
	 */
	public void write(RoutingContext routing, Throwable failure) {
		write(routing, failure, Duration.ZERO);
	}

	/**
	 * Answers with an error and says when to come back. A response that has begun is
	 * broken off.
	 * @param routing the request
	 * @param failure what went wrong
	 * @param retryAfter when to send the request again; zero says nothing
	 */
	public void write(RoutingContext routing, Throwable failure, Duration retryAfter) {
		RagworthookException error = known(failure);
		this.metrics.error(error.code());
		HttpServerResponse response = routing.response();
		if (response.ended() || response.closed()) {
			return;
		}
		if (response.headWritten()) {
			breakOff(routing, error);
			return;
		}
		if (!retryAfter.isZero()) {
			long seconds = Math.max(1, (retryAfter.toMillis() + 999) / 1000);
			response.putHeader("Retry-After", String.valueOf(seconds));
		}
		response.setStatusCode(error.code().httpStatus())
			.putHeader("Content-Type", "application/json")
			.end(body(error).encode());
	}

	/**
	 * Ends a response that has begun. Readers of events get the error as the last one;
	 * the connection is broken off, since a part must not look whole to those that only
	 * see its framing.
	 * @param routing the request
	 * @param error what went wrong
	 */
	private static void breakOff(RoutingContext routing, RagworthookException error) {
		HttpServerResponse response = routing.response();
		StreamedResponse stream = StreamedResponse.of(routing.request());
		String type = response.headers().get(HttpHeaders.CONTENT_TYPE);
		if (type != null && type.startsWith(EVENT_STREAM)) {
			response.write("data: " + body(error).encode() + "\n\n").onComplete((written) -> stream.breakOff());
		}
		else {
			stream.breakOff();
		}
	}

	private static RagworthookException known(Throwable failure) {
		Throwable cause = Failures.root(failure);
		if (cause instanceof RagworthookException error) {
			return error;
		}
		LOG.warning("internal_error", "error", cause);
		return new RequestException(ErrorCode.INTERNAL, "an internal error", cause);
	}

	private static JsonObject body(RagworthookException error) {
		return new JsonObject().put("error",
				new JsonObject().put("message", error.getMessage())
					.put("type", error.code().name().toLowerCase(Locale.ROOT))
					.put("code", error.code().text())
					.put("remedy", error.code().remedy()));
	}

}
