package org.ragworthook.standin.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.fleet.Address;

/**
 * Makes single calls and waits for their answers.
 */
public final class RestClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private final String base;

	private final String key;

	private RestClient(Address address, String key) {
		this.base = "http://" + Objects.requireNonNull(address, "address is null");
		this.key = Objects.requireNonNull(key, "key is null");
	}

	/**
	 * Returns a client.
	 * @param address where to call
	 * @param key the bearer key, empty for none
	 * @return the client
	 */
	public static RestClient of(Address address, String key) {
		return new RestClient(address, key);
	}

	/**
	 * Reads.
	 * @param path the path with its query
	 * @return the answer, with status 0 if the connection broke
	 */
	public Reply fetch(String path) {
		return call("GET", path, Map.of(), HttpRequest.BodyPublishers.noBody());
	}

	/**
	 * Posts a document.
	 * @param path the path with its query
	 * @param body the document
	 * @return the answer, with status 0 if the connection broke
	 */
	public Reply post(String path, JsonObject body) {
		return send("POST", path, Map.of("Content-Type", "application/json"), body.encode());
	}

	/**
	 * Sends a text.
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers further headers
	 * @param body the text
	 * @return the answer, with status 0 if the connection broke
	 */
	public Reply send(String method, String path, Map<String, String> headers, String body) {
		return call(method, path, headers, HttpRequest.BodyPublishers.ofString(body));
	}

	private Reply call(String method, String path, Map<String, String> headers, HttpRequest.BodyPublisher body) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(this.base + path))
			.timeout(TIMEOUT)
			.method(method, body);
		if (!this.key.isEmpty()) {
			request.header("Authorization", "Bearer " + this.key);
		}
		headers.forEach(request::header);
		try {
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new Reply(response.statusCode(), response.body());
		}
		catch (IOException ex) {
			return new Reply(0, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	/**
	 * An answer.
	 *
	 * @param status the HTTP status, or 0 if the connection broke
	 * @param text its body, or what broke
	 */
	public record Reply(int status, String text) {

		/**
		 * Tells whether the call succeeded.
		 * @return whether the status is from 200 to 299
		 */
		public boolean ok() {
			return this.status / 100 == 2;
		}

		/**
		 * Returns the body as a document.
		 * @return the document, empty if it is none
		 */
		public JsonObject document() {
			try {
				return new JsonObject(this.text);
			}
			catch (DecodeException ex) {
				return new JsonObject();
			}
		}

	}

}
