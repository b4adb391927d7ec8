package org.ragworthook.daemon.fake;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A caller of an entry.
 */
public final class Caller {

	/** The key of the account in the tests' contract. */
	public static final String KEY = "test-key";

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final String base;

	/**
	 * Creates a caller.
	 * @param base the entry's URL
	 */
	public Caller(String base) {
		this.base = base;
	}

	/**
	 * Asks for generated text.
	 * @param prompt the user's message
	 * @param stream whether to stream
	 * @param headers names and values by turns
	 * @return the whole answer, when it has come
	 */
	public CompletableFuture<HttpResponse<String>> chat(String prompt, boolean stream, String... headers) {
		String body = new JsonObject().put("model", "m")
			.put("stream", stream)
			.put("messages", new JsonArray().add(new JsonObject().put("role", "user").put("content", prompt)))
			.encode();
		return post("/v1/chat/completions", body, headers);
	}

	/**
	 * Sends a request.
	 * @param path the path
	 * @param body the body
	 * @param headers names and values by turns
	 * @return the whole answer, when it has come
	 */
	public CompletableFuture<HttpResponse<String>> post(String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(this.base + path))
			.header("Authorization", "Bearer " + KEY)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			request.headers(headers);
		}
		return this.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Waits for an answer.
	 * @param answer the answer to come
	 * @return the answer
	 */
	public static HttpResponse<String> await(CompletableFuture<HttpResponse<String>> answer) {
		return answer.orTimeout(FakeUpstream.PATIENCE_SECONDS, TimeUnit.SECONDS).join();
	}

	/**
	 * Returns the kind of an error answer.
	 * @param answer the answer
	 * @return the name of the error code, in lower case
	 */
	public static String error(HttpResponse<String> answer) {
		return new JsonObject(answer.body()).getJsonObject("error").getString("type");
	}

}
