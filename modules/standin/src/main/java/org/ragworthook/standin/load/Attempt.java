package org.ragworthook.standin.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;

/**
 * One attempt at a streamed chat call.
 */
final class Attempt {

	private static final String DATA = "data: ";

	private static final String DONE = "[DONE]";

	private final StringBuilder text = new StringBuilder();

	private final List<Long> tokenNanos = new ArrayList<>();

	private int status;

	private String error = "";

	private boolean sent;

	private boolean done;

	/**
	 * Sends the call and takes its answer.
	 * @param client makes the connection
	 * @param target where to send it
	 * @param request the call
	 * @return completes when the answer has ended; fails if the connection broke before
	 */
	Future<Attempt> run(HttpClient client, Target target, PromptMix.Request request) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(target.address().host())
			.setPort(target.address().port())
			.setURI("/v1/chat/completions")
			.putHeader("Content-Type", "application/json");
		if (!target.key().isEmpty()) {
			options.putHeader("Authorization", "Bearer " + target.key());
		}
		return client.request(options).compose((opened) -> {
			this.sent = true;
			return opened.send(request.body().toBuffer());
		}).compose(this::take).map(this);
	}

	private Future<Void> take(HttpClientResponse response) {
		this.status = response.statusCode();
		if (this.status != 200) {
			return response.body().map((body) -> {
				this.error = body.toString();
				return null;
			});
		}
		Promise<Void> ended = Promise.promise();
		RecordParser events = RecordParser.newDelimited("\n\n", response);
		events.exceptionHandler((failure) -> end(ended, failure));
		events.endHandler((nothing) -> end(ended, new IOException("stream ended early")));
		events.handler(this::event);
		return ended.future();
	}

	private void end(Promise<Void> ended, Throwable otherwise) {
		if (this.done || !this.error.isEmpty()) {
			ended.tryComplete();
		}
		else {
			ended.tryFail(otherwise);
		}
	}

	private void event(Buffer event) {
		String line = event.toString();
		if (!line.startsWith(DATA)) {
			return;
		}
		String data = line.substring(DATA.length()).strip();
		if (DONE.equals(data)) {
			this.done = true;
			return;
		}
		JsonObject document = new JsonObject(data);
		if (document.containsKey("error")) {
			this.error = data;
			return;
		}
		JsonArray choices = document.getJsonArray("choices", new JsonArray());
		String piece = choices.isEmpty() ? ""
				: choices.getJsonObject(0).getJsonObject("delta", new JsonObject()).getString("content", "");
		if (piece != null && !piece.isEmpty()) {
			this.tokenNanos.add(System.nanoTime());
			this.text.append(piece);
		}
	}

	boolean sent() {
		return this.sent;
	}

	String text() {
		return this.text.toString();
	}

	List<Long> tokenNanos() {
		return this.tokenNanos;
	}

	int status() {
		return this.status;
	}

	String error() {
		return this.error;
	}

}
