package org.ragworthook.daemon.http;

import java.util.Objects;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * The end of a response that is sent in parts. Only {@link #complete} makes it whole to
 * its caller; every other end of the connection, that of this process included, is seen
 * as an error.
 * <p>
 * Under HTTP/1.1 the last chunk tells the two apart. Under HTTP/1.0 the response ends
 * with its connection, so the connection is set to be reset when closed, until the
 * response is complete.
 */
public final class StreamedResponse {

	private static final int LINGER_OFF = -1;

	private static final long HTTP2_INTERNAL_ERROR = 2;

	private final HttpServerRequest request;

	private StreamedResponse(HttpServerRequest request) {
		this.request = Objects.requireNonNull(request, "request is null");
	}

	/**
	 * Returns the response to a request. Has no state of its own.
	 * @param request the request
	 * @return the response
	 */
	public static StreamedResponse of(HttpServerRequest request) {
		return new StreamedResponse(request);
	}

	/**
	 * Prepares the head of a response without a length. Called before the first write.
	 */
	public void begin() {
		HttpServerResponse response = this.request.response();
		response.setChunked(true);
		if (endsWithConnection()) {
			response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
			linger(0);
		}
	}

	/**
	 * Ends the response as whole.
	 */
	public void complete() {
		HttpServerResponse response = this.request.response();
		if (endsWithConnection()) {
			linger(LINGER_OFF);
			response.end().onComplete((ended) -> this.request.connection().close());
		}
		else {
			response.end();
		}
	}

	/**
	 * Breaks the response off, so that its caller does not take it for whole.
	 */
	public void breakOff() {
		if (endsWithConnection()) {
			Channel channel = channel();
			linger(0);
			// Bypasses TLS, whose closing alert would state the end.
			channel.eventLoop().execute(() -> channel.unsafe().close(channel.voidPromise()));
		}
		else if (this.request.version() == HttpVersion.HTTP_2) {
			this.request.response().reset(HTTP2_INTERNAL_ERROR);
		}
		else {
			this.request.connection().close();
		}
	}

	private boolean endsWithConnection() {
		return this.request.version() == HttpVersion.HTTP_1_0;
	}

	private void linger(int seconds) {
		Channel channel = channel();
		if (channel.isOpen()) {
			channel.config().setOption(ChannelOption.SO_LINGER, seconds);
		}
	}

	private Channel channel() {
		return ((ConnectionBase) this.request.connection()).channel();
	}

}
