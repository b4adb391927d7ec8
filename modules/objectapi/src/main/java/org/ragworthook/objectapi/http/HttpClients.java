package org.ragworthook.objectapi.http;

import java.io.IOException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import org.ragworthook.core.response.HeadFault;
import org.ragworthook.wire.http.OrderlyEndHandler;

/**
 * Creates HTTP clients whose connections take only well-formed answers, and reads bodies
 * of limited size.
 */
public final class HttpClients {

	private HttpClients() {
	}

	/**
	 * Creates a client. Each of its connections carries one request: the bytes behind a
	 * response are not checked.
	 * @param vertx runs the client
	 * @param options the options, whose keep-alive is turned off
	 * @param pool limits the connections
	 * @return the client, to be closed
	 */
	public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
		return vertx.httpClientBuilder()
			.with(options.setKeepAlive(false))
			.with(pool)
			.withConnectHandler(HttpClients::check)
			.build();
	}

	/**
	 * Adds the checks before the decoder.
	 * @param connection a new connection
	 */
	private static void check(HttpConnection connection) {
		ChannelPipeline pipeline = channel(connection).pipeline();
		ResponseCheck check = new ResponseCheck();
		String codec = pipeline.context(HttpClientCodec.class).name();
		pipeline.addBefore(codec, "orderly-end", new OrderlyEndHandler(check::endDelimitsResponse));
		pipeline.addBefore(codec, "response-check", check);
	}

	/**
	 * Returns the channel, which Vert.x offers only through this internal type.
	 * @param connection a connection
	 * @return its channel
	 */
	private static Channel channel(HttpConnection connection) {
		return ((HttpClientConnectionInternal) connection).channelHandlerContext().channel();
	}

	/**
	 * Sets whether to read from the connection of a response. Pausing the response would
	 * not do: Vert.x reads on for a while, and if the server closes the connection then,
	 * it drops what was received and not delivered.
	 * @param response the response
	 * @param reading whether to read; what was read before is delivered in any case
	 */
	public static void setReading(HttpClientResponse response, boolean reading) {
		channel(response.request().connection()).config().setAutoRead(reading);
	}

	/**
	 * Returns whether a response states where its body ends. Else it ends with its
	 * connection.
	 * @param response the response
	 * @return whether the head states a length or chunks
	 */
	public static boolean endStated(HttpClientResponse response) {
		return response.headers().contains(HttpHeaders.CONTENT_LENGTH)
				|| response.headers().contains(HttpHeaders.TRANSFER_ENCODING);
	}

	/**
	 * Reads the body of a response. One that is too long is broken off.
	 * @param response the response, whose head has just been received
	 * @param maxBytes the most bytes of a body
	 * @return the body; fails if the head is unusable, or if the body is too long or
	 * breaks off
	 */
	public static Future<Buffer> body(HttpClientResponse response, int maxBytes) {
		Promise<Buffer> whole = Promise.promise();
		Buffer body = Buffer.buffer();
		HeadFault.of(response.statusMessage(), response.headers())
			.ifPresent((fault) -> breakOff(response, whole, fault.detail()));
		response.exceptionHandler(whole::tryFail);
		response.endHandler((end) -> whole.tryComplete(body));
		response.handler((data) -> {
			if (whole.future().isComplete()) {
				return;
			}
			if (data.length() > maxBytes - body.length()) {
				breakOff(response, whole, "the body has more than " + maxBytes + " bytes");
				return;
			}
			body.appendBuffer(data);
		});
		return whole.future();
	}

	private static void breakOff(HttpClientResponse response, Promise<Buffer> whole, String detail) {
		whole.tryFail(new IOException(detail));
		response.request().reset();
	}

}
