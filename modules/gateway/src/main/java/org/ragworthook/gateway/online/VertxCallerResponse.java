package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Responds to a caller over a Vert.x HTTP server.
 */
final class VertxCallerResponse implements CallerResponse {

	private static final double MILLIS_PER_SECOND = 1_000.0;

	/** The linger time with which the kernel resets a connection that is closed. */
	private static final int RESET_ON_CLOSE = 0;

	/** Turns lingering off: the kernel sends what is left and ends the connection. */
	private static final int ORDERLY_CLOSE = -1;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final String requestIdHeader;

	private final boolean closeConnection;

	/** Whether only the end of the connection marks the end of the response. */
	private boolean closeDelimited;

	/** Completes when all parts of the body so far were handed to the kernel. */
	private Future<Void> lastWrite = Future.succeededFuture();

	VertxCallerResponse(HttpServerRequest request, String requestIdHeader, boolean closeConnection) {
		this.request = Objects.requireNonNull(request, "request is null");
		this.response = request.response();
		this.requestIdHeader = requestIdHeader;
		this.closeConnection = closeConnection;
	}

	@Override
	public void head(HttpResponse head, boolean eventStream) {
		this.response.setStatusCode(head.status().code());
		this.response.setStatusMessage(head.status().reasonPhrase());
		for (Map.Entry<String, String> header : head.headers()) {
			if (!HopByHopHeaders.isHopByHop(header.getKey())) {
				this.response.headers().add(header.getKey(), header.getValue());
			}
		}
		if (eventStream) {
			this.response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		}
		if (!this.response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			this.response.setChunked(true);
			if (this.request.version() == HttpVersion.HTTP_1_0) {
				delimitByClose();
			}
		}
		setConnectionHeader();
	}

	/**
	 * Lets every end of the connection reset it until the response is complete, also the
	 * end of this process. HTTP/1.0 has no chunks, so an orderly close would show its
	 * caller a complete response.
	 */
	private void delimitByClose() {
		this.closeDelimited = true;
		lingerSeconds(RESET_ON_CLOSE);
		// Vert.x sets the header of a caller that wants to keep its connection.
		this.response.headersEndHandler((ready) -> this.response.putHeader("Connection", "close"));
	}

	private void lingerSeconds(int seconds) {
		Channel channel = ((ConnectionBase) this.request.connection()).channel();
		if (channel.isOpen()) {
			channel.config().setOption(ChannelOption.SO_LINGER, seconds);
		}
	}

	private void setConnectionHeader() {
		if (this.closeConnection) {
			this.response.putHeader("Connection", "close");
		}
	}

	@Override
	public void write(byte[] data) {
		if (!this.response.ended() && !this.response.closed()) {
			this.lastWrite = this.response.write(Buffer.buffer(data));
		}
	}

	@Override
	public void end() {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		if (this.closeDelimited) {
			// Until all is sent, an orderly close would hide that the rest is missing.
			this.lastWrite.onSuccess((sent) -> lingerSeconds(ORDERLY_CLOSE));
			this.response.end().onComplete((sent) -> this.request.connection().close());
		}
		else {
			this.response.end();
		}
	}

	@Override
	public void abort() {
		this.request.connection().close();
	}

	@Override
	public void respond(int status, String detail, Optional<Duration> retryAfter) {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		this.response.setStatusCode(status);
		String id = this.request.getHeader(this.requestIdHeader);
		if (id != null) {
			this.response.putHeader(this.requestIdHeader, id);
		}
		retryAfter.ifPresent((delay) -> this.response.putHeader("Retry-After",
				String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND)));
		setConnectionHeader();
		this.response.putHeader("Content-Type", "application/json");
		this.response.end("{\"message\":\"" + detail.replace("\"", "'") + "\"}");
	}

	@Override
	public boolean writeQueueFull() {
		return this.response.writeQueueFull();
	}

	@Override
	public void onWritable(Runnable listener) {
		this.response.drainHandler((ignored) -> listener.run());
	}

}
