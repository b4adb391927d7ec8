package org.ragworthook.daemon.fake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A call to a fake upstream. It answers as a model engine does, in events.
 */
public final class FakeCall {

	private final Context context;

	private final HttpServerRequest request;

	private final String body;

	private int generated;

	private final CompletableFuture<Void> closed = new CompletableFuture<>();

	FakeCall(Context context, HttpServerRequest request, String body) {
		this.context = context;
		this.request = request;
		this.body = body;
		request.response().closeHandler((ignored) -> this.closed.complete(null));
	}

	/**
	 * Returns what the caller sent.
	 * @return the body
	 */
	public String body() {
		return this.body;
	}

	/**
	 * Returns the text after which an engine is to go on.
	 * @return the last message if it is to be continued, else nothing
	 */
	public String resumed() {
		JsonObject sent = new JsonObject(this.body);
		if (!sent.getBoolean("continue_final_message", false)) {
			return "";
		}
		int last = sent.getJsonArray("messages").size() - 1;
		return sent.getJsonArray("messages").getJsonObject(last).getString("content");
	}

	/**
	 * Greets, as engines do before the first token.
	 * @return this call
	 */
	public FakeCall greet() {
		return event(new JsonObject().put("role", "assistant").put("content", ""), null);
	}

	/**
	 * Generates tokens.
	 * @param texts their texts, one letter each
	 * @return this call
	 */
	public FakeCall tokens(String... texts) {
		for (String text : texts) {
			event(new JsonObject().put("content", text), null);
			this.generated++;
		}
		return this;
	}

	/**
	 * Ends the stream.
	 */
	public void finish() {
		event(new JsonObject(), "stop");
		JsonObject usage = new JsonObject().put("prompt_tokens", 3 + resumed().length())
			.put("completion_tokens", this.generated);
		String counts = new JsonObject().put("model", "m").put("choices", new JsonArray()).put("usage", usage).encode();
		onContext(() -> this.request.response().end("data: " + counts + "\n\ndata: [DONE]\n\n"));
	}

	/**
	 * Sends a part of the stream as it stands.
	 * @param text events with their framing, or a part of one
	 * @return this call
	 */
	public FakeCall raw(String text) {
		onContext(() -> write(text));
		return this;
	}

	/**
	 * States why generation stopped.
	 * @return this call
	 */
	public FakeCall finishReason() {
		return event(new JsonObject(), "stop");
	}

	/**
	 * Ends the response in order, with whatever was sent before.
	 */
	public void endResponse() {
		onContext(() -> this.request.response().end());
	}

	/**
	 * Answers whole.
	 * @param status the HTTP status
	 * @param text the body
	 */
	public void answer(int status, String text) {
		onContext(() -> this.request.response()
			.setStatusCode(status)
			.putHeader("Content-Type", "application/json")
			.end(text));
	}

	/**
	 * Breaks the connection.
	 */
	public void breakOff() {
		onContext(() -> this.request.connection().close());
	}

	/**
	 * Waits until the other side has closed the connection.
	 */
	public void awaitClosed() {
		this.closed.orTimeout(FakeUpstream.PATIENCE_SECONDS, TimeUnit.SECONDS).join();
	}

	private FakeCall event(JsonObject delta, String finishReason) {
		JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).put("finish_reason", finishReason);
		String data = new JsonObject().put("id", "engine-id")
			.put("object", "chat.completion.chunk")
			.put("created", 1)
			.put("model", "m")
			.put("choices", new JsonArray().add(choice))
			.encode();
		onContext(() -> write("data: " + data + "\n\n"));
		return this;
	}

	private void write(String text) {
		if (!this.request.response().headWritten()) {
			this.request.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
		}
		this.request.response().write(text);
	}

	private void onContext(Runnable task) {
		this.context.runOnContext((ignored) -> task.run());
	}

}
