package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * Answers a caller over Vert.x.
 */
final class VertxCallerResponse implements CallerResponse {

	private static final double MILLIS = 1_000.0;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final String idHeader;

	private final boolean closing;

	VertxCallerResponse(HttpServerRequest request, String idHeader, boolean closing) {
		this.request = Objects.requireNonNull(request, "request is null");
		this.response = request.response();
		this.idHeader = idHeader;
		this.closing = closing;
	}

	@Override
	public void head(HttpResponse head) {
		this.response.setStatusCode(head.status().code());
		this.response.setStatusMessage(head.status().reasonPhrase());
		for (Map.Entry<String, String> header : head.headers()) {
			if (!HopHeaders.isHopByHop(header.getKey())) {
				this.response.headers().add(header.getKey(), header.getValue());
			}
		}
		if (!head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			this.response.setChunked(true);
		}
		closeIfAsked();
	}

	private void closeIfAsked() {
		if (this.closing) {
			this.response.putHeader("Connection", "close");
		}
	}

	@Override
	public void write(byte[] data) {
		if (!this.response.ended() && !this.response.closed()) {
			this.response.write(Buffer.buffer(data));
		}
	}

	@Override
	public void end() {
		if (!this.response.ended() && !this.response.closed()) {
			this.response.end();
		}
	}

	@Override
	public void breakOff() {
		this.request.connection().close();
	}

	@Override
	public void answer(int status, String detail, Optional<Duration> retryAfter) {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		this.response.setStatusCode(status);
		String id = this.request.getHeader(this.idHeader);
		if (id != null) {
			this.response.putHeader(this.idHeader, id);
		}
		retryAfter.ifPresent((wait) -> this.response.putHeader("Retry-After",
				String.format(Locale.ROOT, "%.3f", wait.toMillis() / MILLIS)));
		closeIfAsked();
		this.response.putHeader("Content-Type", "application/json");
		this.response.end("{\"message\":\"" + detail.replace("\"", "'") + "\"}");
	}

	@Override
	public boolean full() {
		return this.response.writeQueueFull();
	}

	@Override
	public void onWritable(Runnable listener) {
		this.response.drainHandler((ignored) -> listener.run());
	}

}
