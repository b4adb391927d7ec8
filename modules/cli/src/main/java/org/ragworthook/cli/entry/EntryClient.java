package org.ragworthook.cli.entry;

import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientMultipartForm;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.objectapi.http.HttpClients;

/**
 * Calls an entry over HTTP and waits for its answer. An entry that cannot be connected to
 * is passed over for the next; a call that was sent is not sent again.
 */
public final class EntryClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 3000;

	private static final int IDLE_TIMEOUT_SECONDS = 60;

	private static final int NO_CONTENT = 204;

	/** The most bytes that a buffer holds. */
	private static final int MAX_ANSWER_BYTES = Integer.MAX_VALUE;

	private final CliSettings settings;

	private final Vertx vertx = Vertx
		.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));

	/**
	 * The context that all calls run on. A call that was started on another thread could
	 * miss an answer that came before its handler was set, and the command would wait for
	 * ever.
	 */
	private final Context context = this.vertx.getOrCreateContext();

	private final HttpClient client = HttpClients.create(this.vertx,
			new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setIdleTimeout(IDLE_TIMEOUT_SECONDS),
			new PoolOptions());

	private EntryClient(CliSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings is null");
	}

	/**
	 * Returns a client.
	 * @param settings where the entries are and with which key to call them
	 * @return the client
	 */
	public static EntryClient of(CliSettings settings) {
		return new EntryClient(settings);
	}

	/**
	 * Reads.
	 * @param path the path with its query
	 * @return the answer
	 * @throws CliException if the call is refused or no entry is reached
	 */
	public Answer fetch(String path) {
		return call(HttpMethod.GET, path, Map.of(), HttpClientRequest::send);
	}

	/**
	 * Sends JSON or text.
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers further headers
	 * @param body what to send
	 * @return the answer
	 * @throws CliException if the call is refused or no entry is reached
	 */
	public Answer send(HttpMethod method, String path, Map<String, String> headers, String body) {
		return call(method, path, headers, (request) -> {
			request.putHeader("Content-Type", "application/json");
			return request.send(Buffer.buffer(body));
		});
	}

	/**
	 * Uploads a file.
	 * @param path the path
	 * @param purpose what the file is for
	 * @param fileName its name
	 * @param content its content
	 * @return the answer
	 * @throws CliException if the call is refused or no entry is reached
	 */
	public Answer upload(String path, String purpose, String fileName, Buffer content) {
		return call(HttpMethod.POST, path, Map.of(),
				(request) -> request.send(ClientMultipartForm.multipartForm()
					.attribute("purpose", purpose)
					.binaryFileUpload("file", fileName, "application/jsonl", content)));
	}

	private Answer call(HttpMethod method, String path, Map<String, String> headers,
			Function<HttpClientRequest, Future<HttpClientResponse>> send) {
		List<String> entries = this.settings.entries();
		for (int index = 0; index < entries.size(); index++) {
			try {
				return attempt(entries.get(index) + path, method, headers, send);
			}
			catch (CompletionException ex) {
				boolean last = index == entries.size() - 1;
				if (last || !(ex.getCause() instanceof ConnectException)) {
					throw new CliException(ExitCode.UNAVAILABLE, "no answer from " + entries.get(index) + ": "
							+ ex.getCause().getMessage() + "; check --entry and that the entry is up");
				}
			}
		}
		throw new CliException(ExitCode.USAGE, "no entry is named; give --entry URL");
	}

	private Answer attempt(String url, HttpMethod method, Map<String, String> headers,
			Function<HttpClientRequest, Future<HttpClientResponse>> send) {
		RequestOptions options = new RequestOptions().setAbsoluteURI(url).setMethod(method);
		this.settings.key().ifPresent((key) -> options.putHeader("Authorization", "Bearer " + key));
		headers.forEach(options::putHeader);
		Promise<Answer> answer = Promise.promise();
		this.context.runOnContext(
				(ignored) -> this.client.request(options).compose(send).compose(EntryClient::whole).onComplete(answer));
		return answer.future().toCompletionStage().toCompletableFuture().join().orRefused();
	}

	/**
	 * Reads an answer to its end. An entry states where its answers end; one that merely
	 * ends with its connection may be a part.
	 * @param response the response
	 * @return the answer, or a failure if it is not whole
	 */
	private static Future<Answer> whole(HttpClientResponse response) {
		if (!HttpClients.endStated(response) && response.statusCode() != NO_CONTENT) {
			response.request().reset();
			return Future.failedFuture("the answer does not state where it ends");
		}
		return HttpClients.body(response, MAX_ANSWER_BYTES).map((body) -> new Answer(response.statusCode(), body));
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

}
