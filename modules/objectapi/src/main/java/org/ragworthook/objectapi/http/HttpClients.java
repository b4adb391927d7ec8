package org.ragworthook.objectapi.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import org.ragworthook.wire.http.OrderlyEndHandler;

/**
 * Creates HTTP clients whose connections take only well-formed answers.
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
	 * Adds the checks before the decoder. Vert.x offers the bytes of a connection only
	 * through this internal type.
	 * @param connection a new connection
	 */
	private static void check(HttpConnection connection) {
		ChannelPipeline pipeline = ((HttpClientConnectionInternal) connection).channelHandlerContext().pipeline();
		ResponseCheck check = new ResponseCheck();
		String codec = pipeline.context(HttpClientCodec.class).name();
		pipeline.addBefore(codec, "orderly-end", new OrderlyEndHandler(check::endDelimitsResponse));
		pipeline.addBefore(codec, "response-check", check);
	}

}
