package org.ragworthook.standin.engine;

import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Writes what a request generates as the OpenAI API describes it: as one document, or as
 * a stream of events.
 */
final class Answer implements Generation.Sink {

	private static final AtomicLong NUMBERS = new AtomicLong();

	private final HttpServerResponse response;

	private final JsonObject request;

	private final boolean chat;

	private final boolean stream;

	private final String id;

	private final long created = System.currentTimeMillis() / 1000;

	private final StringBuilder text = new StringBuilder();

	private boolean begun;

	Answer(HttpServerResponse response, JsonObject request, boolean chat) {
		this.response = response;
		this.request = request;
		this.chat = chat;
		this.stream = request.getBoolean("stream", false);
		this.id = (chat ? "chatcmpl-" : "cmpl-") + NUMBERS.incrementAndGet();
	}

	@Override
	public void token(String token) {
		if (!this.stream) {
			this.text.append(token);
			return;
		}
		begin();
		this.response.write(event(chunk(piece(token), null)));
	}

	private void begin() {
		if (this.begun) {
			return;
		}
		this.begun = true;
		this.response.setChunked(true).putHeader("Content-Type", "text/event-stream");
		if (this.chat) {
			JsonObject role = new JsonObject().put("role", "assistant").put("content", "");
			this.response.write(event(chunk(new JsonObject().put("delta", role), null)));
		}
	}

	@Override
	public void finished(String reason, Generation generation) {
		JsonObject usage = usage(generation);
		if (!this.stream) {
			whole(reason, usage);
			return;
		}
		begin();
		this.response.write(event(chunk(piece(""), reason)));
		if (this.request.getJsonObject("stream_options", new JsonObject()).getBoolean("include_usage", false)) {
			this.response.write(event(head().put("choices", new JsonArray()).put("usage", usage)));
		}
		this.response.end("data: [DONE]\n\n");
	}

	private void whole(String reason, JsonObject usage) {
		JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", reason).putNull("logprobs");
		if (this.chat) {
			choice.put("message", new JsonObject().put("role", "assistant").put("content", this.text.toString()));
		}
		else {
			choice.put("text", this.text.toString());
		}
		this.response.putHeader("Content-Type", "application/json")
			.end(head().put("choices", new JsonArray().add(choice)).put("usage", usage).toBuffer());
	}

	private JsonObject piece(String token) {
		return this.chat
				? new JsonObject().put("delta",
						token.isEmpty() ? new JsonObject() : new JsonObject().put("content", token))
				: new JsonObject().put("text", token);
	}

	private JsonObject chunk(JsonObject piece, String reason) {
		piece.put("index", 0).put("finish_reason", reason);
		return head().put("choices", new JsonArray().add(piece));
	}

	private JsonObject head() {
		String whole = this.chat ? "chat.completion" : "text_completion";
		return new JsonObject().put("id", this.id)
			.put("object", (this.chat && this.stream) ? "chat.completion.chunk" : whole)
			.put("created", this.created)
			.put("model", this.request.getString("model"));
	}

	private static JsonObject usage(Generation generation) {
		int prompt = generation.prompt().tokens();
		return new JsonObject().put("prompt_tokens", prompt)
			.put("completion_tokens", generation.produced())
			.put("total_tokens", prompt + generation.produced())
			.put("prompt_tokens_details", new JsonObject().put("cached_tokens", generation.cachedTokens()));
	}

	private static String event(JsonObject document) {
		return "data: " + Json.encode(document) + "\n\n";
	}

}
