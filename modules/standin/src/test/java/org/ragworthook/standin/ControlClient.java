package org.ragworthook.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import io.vertx.core.json.JsonObject;

/**
 * Makes control calls to a stand-in under test.
 */
public final class ControlClient {

	private final HttpClient client = HttpClient.newHttpClient();

	private final String base;

	/**
	 * Creates a client.
	 * @param port where the stand-in listens
	 */
	public ControlClient(int port) {
		this.base = "http://" + StandInServer.HOST + ":" + port;
	}

	/**
	 * Posts a document.
	 * @param path the path
	 * @param body the document
	 * @return the answer
	 */
	public JsonObject post(String path, JsonObject body) {
		return postText(path, body.encode());
	}

	/**
	 * Posts a text.
	 * @param path the path
	 * @param body the text
	 * @return the answer
	 */
	public JsonObject postText(String path, String body) {
		return send(HttpRequest.newBuilder(URI.create(this.base + path))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build());
	}

	/**
	 * Gets a document.
	 * @param path the path
	 * @return the answer
	 */
	public JsonObject get(String path) {
		return send(HttpRequest.newBuilder(URI.create(this.base + path)).build());
	}

	private JsonObject send(HttpRequest request) {
		try {
			return new JsonObject(this.client.send(request, HttpResponse.BodyHandlers.ofString()).body());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
