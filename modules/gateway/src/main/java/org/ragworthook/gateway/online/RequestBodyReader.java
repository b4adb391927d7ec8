package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.memory.HeldBytes;
import org.ragworthook.gateway.metrics.GatewayMetrics;

/**
 * Reads the bodies of requests, within limits of size and time. Used on the event loop.
 */
final class RequestBodyReader {

	private static final EventLog LOG = EventLog.of(RequestBodyReader.class);

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private final Timers timers;

	private final String requestIdHeader;

	private final GatewayMetrics metrics;

	/**
	 * Creates a reader.
	 * @param timers limits the time, on the event loop
	 * @param requestIdHeader the name of the header with the request id
	 * @param metrics counts the requests that take too long
	 */
	RequestBodyReader(Timers timers, String requestIdHeader, GatewayMetrics metrics) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.requestIdHeader = Objects.requireNonNull(requestIdHeader, "requestIdHeader is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
	}

	/**
	 * Reads the body of a request, or responds with an error.
	 * @param request the request, whose body has not been read
	 * @param response receives the error
	 * @param held counts the bytes until the body is complete
	 * @param limits the limits
	 * @param complete receives the body once it is complete
	 */
	void read(HttpServerRequest request, CallerResponse response, HeldBytes held, Limits limits,
			Consumer<byte[]> complete) {
		Reading reading = new Reading(request, response, held, limits);
		reading.timer = this.timers.schedule(limits.time, reading::timedOut);
		request.handler(reading::received);
		request.endHandler((end) -> {
			if (reading.stop()) {
				complete.accept(reading.take());
			}
		});
		request.exceptionHandler((failure) -> reading.stop());
	}

	/**
	 * The limits of a body.
	 *
	 * @param bytes the longest body
	 * @param time the time in which it has to be complete
	 */
	record Limits(int bytes, Duration time) {
	}

	private final class Reading {

		private final HttpServerRequest request;

		private final CallerResponse response;

		private final HeldBytes held;

		private final Limits limits;

		private Buffer body = Buffer.buffer();

		private Timers.Timer timer;

		private boolean stopped;

		Reading(HttpServerRequest request, CallerResponse response, HeldBytes held, Limits limits) {
			this.request = request;
			this.response = response;
			this.held = held;
			this.limits = limits;
		}

		private void received(Buffer chunk) {
			if (this.stopped) {
				return;
			}
			if (this.body.length() + chunk.length() > this.limits.bytes) {
				stop();
				LOG.info("body_too_large", "request", id(), "limit", this.limits.bytes);
				this.request.response().putHeader("Connection", "close");
				this.response.respond(CONTENT_TOO_LARGE, "the body is longer than " + this.limits.bytes + " bytes",
						Optional.empty());
				return;
			}
			this.body.appendBuffer(chunk);
			this.held.request(id());
			this.held.add(chunk.length());
		}

		private void timedOut() {
			if (!stop()) {
				return;
			}
			LOG.info("upload_too_slow", "request", id(), "part", "body", "bytes", this.body.length(), "limit_ms",
					this.limits.time.toMillis());
			RequestBodyReader.this.metrics.requestRefused("slow_upload");
			this.request.response().putHeader("Connection", "close");
			this.response.respond(REQUEST_TIMEOUT, "not run: the request was not complete in time", Optional.empty());
			this.request.connection().close();
		}

		/**
		 * Ends the reading.
		 * @return whether it had not ended before
		 */
		private boolean stop() {
			boolean first = !this.stopped;
			this.stopped = true;
			this.timer.cancel();
			if (first) {
				this.held.remove(this.body.length());
			}
			return first;
		}

		/**
		 * Returns the body and drops it here: the server keeps this object with the
		 * request until its response ends.
		 * @return the body
		 */
		private byte[] take() {
			byte[] bytes = this.body.getBytes();
			this.body = Buffer.buffer();
			return bytes;
		}

		private String id() {
			return Optional.ofNullable(this.request.getHeader(RequestBodyReader.this.requestIdHeader)).orElse("-");
		}

	}

}
