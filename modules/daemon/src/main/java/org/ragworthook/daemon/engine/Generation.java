package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragworthook.wire.message.Run;

/**
 * A request for generated text, as the OpenAI API describes it.
 * <p>
 * The engine is always asked to stream, also for callers who wait for the whole answer:
 * what has been generated is then known when an engine is lost or batch gives way, and
 * another engine goes on after it. Requests with features that cannot be put together
 * again from their events are passed on as they are.
 */
public final class Generation {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String COMPLETIONS_PATH = "/v1/completions";

	private static final String[] NOT_RESUMABLE = { "tools", "functions", "logprobs", "top_logprobs", "best_of", "echo",
			"suffix", "audio", "modalities" };

	private final ObjectNode body;

	private final boolean chat;

	private final Run run;

	private Generation(ObjectNode body, boolean chat, Run run) {
		this.body = body;
		this.chat = chat;
		this.run = run;
	}

	/**
	 * Reads a request.
	 * @param run the request as it came over the link
	 * @return the generation, or empty if the request is to be passed on as it is
	 */
	public static Optional<Generation> of(Run run) {
		Objects.requireNonNull(run, "run is null");
		boolean chat = run.getPath().equals(CHAT_PATH);
		if (!run.getMethod().equals("POST") || !(chat || run.getPath().equals(COMPLETIONS_PATH))) {
			return Optional.empty();
		}
		try {
			JsonNode parsed = JSON.readTree(run.getBody().newInput());
			return (parsed instanceof ObjectNode body && resumable(body, chat))
					? Optional.of(new Generation(body, chat, run)) : Optional.empty();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Tells whether an engine can go on after part of the answer.
	 * @param body the caller's request
	 * @param chat whether it goes to the chat API, else to the completions API
	 * @return whether the answer can be put together from several attempts
	 */
	public static boolean resumable(JsonNode body, boolean chat) {
		for (String feature : NOT_RESUMABLE) {
			JsonNode value = body.path(feature);
			if (!value.isMissingNode() && !value.isNull() && !(value.isBoolean() && !value.booleanValue())) {
				return false;
			}
		}
		return body.path("n").asInt(1) == 1
				&& (chat ? body.path("messages").isArray() : body.path("prompt").isTextual());
	}

	/**
	 * Tells whether the request goes to the chat API.
	 * @return false for the completions API
	 */
	boolean chat() {
		return this.chat;
	}

	/**
	 * Returns the request as it came over the link.
	 * @return the request
	 */
	Run run() {
		return this.run;
	}

	/**
	 * Tells whether the caller asked for a last event with the token counts.
	 * @return whether that event is passed on
	 */
	boolean usageWanted() {
		return this.body.path("stream_options").path("include_usage").asBoolean(false);
	}

	/**
	 * Returns the body for the engine: streamed, and going on after what was generated
	 * before.
	 * @return the body as JSON
	 */
	byte[] engineBody() {
		ObjectNode request = this.body.deepCopy();
		request.put("stream", true);
		request.putObject("stream_options").put("include_usage", true);
		if (!this.run.getResumeText().isEmpty()) {
			resume(request);
		}
		try {
			return JSON.writeValueAsBytes(request);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a tree of JSON was not writable", ex);
		}
	}

	private void resume(ObjectNode request) {
		if (this.chat) {
			((ArrayNode) request.get("messages")).addObject()
				.put("role", "assistant")
				.put("content", this.run.getResumeText());
			request.put("continue_final_message", true);
			request.put("add_generation_prompt", false);
		}
		else {
			request.put("prompt", request.get("prompt").textValue() + this.run.getResumeText());
		}
		for (String limit : new String[] { "max_tokens", "max_completion_tokens" }) {
			if (request.path(limit).isInt()) {
				request.put(limit, Math.max(1, request.get(limit).intValue() - this.run.getResumeTokens()));
			}
		}
	}

}
