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

	/**
	 * Longest part that is written at once. A part counts as held until all of it is
	 * written, so a caller that slowly reads a long one would show no progress.
	 */
	private static final int MAX_PART_BYTES = 65_536;

	/** The linger time with which the kernel resets a connection that is closed. */
	private static final int RESET_ON_CLOSE = 0;

	/** Turns lingering off: the kernel sends what is left and ends the connection. */
	private static final int ORDERLY_CLOSE = -1;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final String requestIdHeader;

	private final boolean closeConnection;

	private final CallerWrites writes;

	/** Whether only the end of the connection marks the end of the response. */
	private boolean closeDelimited;

	/** Completes when all parts of the body so far were handed to the kernel. */
	private Future<Void> lastWrite = Future.succeededFuture();

	VertxCallerResponse(HttpServerRequest request, String requestIdHeader, boolean closeConnection,
			CallerWrites writes) {
		this.request = Objects.requireNonNull(request, "request is null");
		this.response = request.response();
		this.requestIdHeader = requestIdHeader;
		this.closeConnection = closeConnection;
		this.writes = Objects.requireNonNull(writes, "writes is null");
		Optional.ofNullable(request.getHeader(requestIdHeader)).ifPresent(writes.held()::request);
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
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		Buffer all = Buffer.buffer(data);
		for (int at = 0; at < data.length; at += MAX_PART_BYTES) {
			Buffer part = all.slice(at, Math.min(at + MAX_PART_BYTES, data.length));
			this.lastWrite = this.response.write(part);
			this.writes.writing(part.length(), this.lastWrite);
		}
	}

	/**
	 * Sends a complete response of the gateway itself.
	 * @param type the media type of the body
	 * @param body the body
	 */
	void respond(String type, Buffer body) {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		this.response.putHeader("Content-Type", type);
		if (body.length() <= MAX_PART_BYTES) {
			this.writes.writing(body.length(), this.response.end(body));
			return;
		}
		this.response.putHeader("Content-Length", String.valueOf(body.length()));
		write(body.getBytes());
		this.response.end();
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
		respond("application/json", Buffer.buffer("{\"message\":\"" + detail.replace("\"", "'") + "\"}"));
	}

	@Override
	public boolean writeQueueFull() {
		return this.writes.full();
	}

	@Override
	public void onWritable(Runnable listener) {
		this.writes.onRoom(listener);
	}

}
