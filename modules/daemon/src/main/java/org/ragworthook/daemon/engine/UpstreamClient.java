package org.ragworthook.daemon.engine;

import java.net.URI;
import java.util.Objects;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.ragworthook.objectapi.http.HttpClients;
import org.ragworthook.wire.message.Run;

/**
 * Makes calls to one upstream. All calls and their listeners run on the context on which
 * the call was started.
 * <p>
 * Each call has a connection of its own. Responses of engines do not name the request
 * that they belong to: if an engine answers a request twice, the second response, late on
 * a kept connection, could not be told from the response to the next request. A request
 * that is sent just as the upstream closes an idle connection would also be broken off
 * without having been run, and one that may run only once could not be tried again.
 */
public final class UpstreamClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final HttpClient client;

	private final URI base;

	private final AnswerMemory memory = AnswerMemory.ofHeap();

	private UpstreamClient(HttpClient client, URI base) {
		this.client = client;
		this.base = base;
	}

	/**
	 * Returns a client of an upstream.
	 * @param vertx carries the connections
	 * @param url base URL of the upstream
	 * @param calls how many calls it may ever carry at once
	 * @return the client
	 */
	public static UpstreamClient of(Vertx vertx, String url, int calls) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
			.setTcpNoDelay(true)
			.setDecompressionSupported(false);
		PoolOptions pool = new PoolOptions().setHttp1MaxSize(calls + 1);
		return new UpstreamClient(HttpClients.create(vertx, options, pool),
				URI.create(Objects.requireNonNull(url, "url is null")));
	}

	/**
	 * Starts a call.
	 * @param run the request
	 * @param listener takes what becomes of it
	 * @return the call
	 */
	public UpstreamCall start(Run run, CallListener listener) {
		UpstreamCall call = Generation.of(run)
			.<UpstreamCall>map((generation) -> new GenerationCall(generation, listener, this.memory.open()))
			.orElseGet(() -> new PlainCall(run, listener, this.memory.open()));
		call.start(this.client, options(HttpMethod.valueOf(run.getMethod()), run.getPath()));
		return call;
	}

	private int port() {
		if (this.base.getPort() >= 0) {
			return this.base.getPort();
		}
		return this.base.getScheme().equals("https") ? 443 : 80;
	}

	private String path(String path) {
		return this.base.getPath().isEmpty() ? path : this.base.getPath() + path;
	}

	/**
	 * Returns the HTTP client, for calls that are not callers' requests.
	 * @return the client
	 */
	public HttpClient http() {
		return this.client;
	}

	/**
	 * Returns request options for a path of the upstream.
	 * @param method the HTTP method
	 * @param path the path
	 * @return options with host and port
	 */
	public RequestOptions options(HttpMethod method, String path) {
		return new RequestOptions().setMethod(method)
			.setHost(this.base.getHost())
			.setPort(port())
			.setSsl(this.base.getScheme().equals("https"))
			.setURI(path(path));
	}

	@Override
	public void close() {
		this.client.close();
	}

}
