package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Turns the engine's events into the caller's answer. The answer bears the id and the
 * time that the entry gave it, and token counts over all attempts, so that an answer put
 * together from several attempts is the same as an undisturbed one.
 */
final class GenerationEvents {

	private static final String DONE = "[DONE]";

	/** Engines give these reasons for an answer that they did not complete. */
	private static final Set<String> FAILURE_REASONS = Set.of("abort", "error");

	private final Generation generation;

	private final StringBuilder text;

	private int tokens;

	private String finishReason;

	private String model = "";

	private JsonNode usage;

	private JsonNode error;

	private boolean done;

	GenerationEvents(Generation generation) {
		this.generation = Objects.requireNonNull(generation, "generation is null");
		this.text = new StringBuilder(generation.run().getResumeText());
		this.tokens = generation.run().getResumeTokens();
	}

	/**
	 * Takes one event.
	 * @param data the data of the event
	 * @return what to pass on, empty pieces included
	 * @throws IOException if the event is not JSON or reports a failure of the engine
	 */
	Piece take(String data) throws IOException {
		if (data.equals(DONE)) {
			this.done = true;
			return stream() ? new Piece(event(DONE), "", 0) : Piece.EMPTY;
		}
		if (!(Generation.JSON.readTree(data) instanceof ObjectNode event)) {
			throw new IOException("an event is no JSON object");
		}
		if (event.hasNonNull("error")) {
			this.error = event.get("error");
			throw new IOException("the engine reports " + event.get("error"));
		}
		return take(event);
	}

	private Piece take(ObjectNode event) throws IOException {
		event.put("id", this.generation.run().getAnswerId());
		event.put("created", this.generation.run().getCreated());
		this.model = event.path("model").asText(this.model);
		if (event.path("usage").isObject()) {
			this.usage = corrected((ObjectNode) event.get("usage"));
		}
		JsonNode choice = event.path("choices").path(0);
		if (choice.isMissingNode()) {
			return (stream() && this.generation.usageWanted()) ? new Piece(event(json(event)), "", 0) : Piece.EMPTY;
		}
		String piece = (this.generation.chat() ? choice.path("delta").path("content") : choice.path("text")).asText("");
		if (FAILURE_REASONS.contains(choice.path("finish_reason").asText())) {
			throw new IOException("the engine stopped with finish reason " + choice.path("finish_reason"));
		}
		if (choice.path("finish_reason").isTextual()) {
			this.finishReason = choice.get("finish_reason").textValue();
		}
		boolean greeting = piece.isEmpty() && this.finishReason == null;
		if (greeting && !this.generation.run().getResumeText().isEmpty()) {
			return Piece.EMPTY;
		}
		this.text.append(piece);
		int generated = piece.isEmpty() ? 0 : 1;
		this.tokens += generated;
		return new Piece(stream() ? event(json(event)) : new byte[0], piece, generated);
	}

	/**
	 * Counts text that was generated in earlier attempts as generated, not as prompt.
	 * @param counts the engine's counts of this attempt
	 * @return the counts over all attempts
	 */
	private ObjectNode corrected(ObjectNode counts) {
		int before = this.generation.run().getResumeTokens();
		if (before > 0) {
			counts.put("prompt_tokens", Math.max(0, counts.path("prompt_tokens").asInt() - before));
			counts.put("completion_tokens", counts.path("completion_tokens").asInt() + before);
		}
		return counts;
	}

	private boolean stream() {
		return this.generation.run().getStream();
	}

	/**
	 * Decides whether the answer is whole. The engine must have stated why it stopped:
	 * engines also send the mark of the end after a failure.
	 * @return whether the engine has stated why it stopped, and no event that is passed
	 * on is missing but the mark of the end
	 */
	boolean complete() {
		boolean counted = this.usage != null || (stream() && !this.generation.usageWanted());
		return this.finishReason != null && (this.done || counted);
	}

	/**
	 * Returns the mark of the end for a caller who streams.
	 * @return the last event, or nothing if it has been passed on
	 */
	byte[] end() {
		return this.done ? new byte[0] : event(DONE);
	}

	/**
	 * Returns the text of all attempts so far.
	 * @return generated text
	 */
	String text() {
		return this.text.toString();
	}

	/**
	 * Returns how many tokens all attempts have generated so far.
	 * @return a count
	 */
	int tokens() {
		return this.tokens;
	}

	/**
	 * Returns the error that the engine reported in an event.
	 * @return the error as JSON, or {@code null} if it reported none
	 */
	JsonNode error() {
		return this.error;
	}

	/**
	 * Returns the whole answer for a caller who does not stream.
	 * @return the answer as JSON
	 */
	byte[] whole() {
		boolean chat = this.generation.chat();
		ObjectNode answer = Generation.JSON.createObjectNode();
		answer.put("id", this.generation.run().getAnswerId());
		answer.put("object", chat ? "chat.completion" : "text_completion");
		answer.put("created", this.generation.run().getCreated());
		answer.put("model", this.model);
		ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
		if (chat) {
			choice.putObject("message").put("role", "assistant").put("content", text());
		}
		else {
			choice.put("text", text());
		}
		choice.put("finish_reason", this.finishReason);
		if (this.usage != null) {
			answer.set("usage", this.usage);
		}
		return json(answer).getBytes(StandardCharsets.UTF_8);
	}

	private static String json(ObjectNode node) {
		try {
			return Generation.JSON.writeValueAsString(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a tree of JSON was not writable", ex);
		}
	}

	private static byte[] event(String data) {
		return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * What one event adds to the answer.
	 *
	 * @param body bytes for the caller, empty if there are none
	 * @param text generated text
	 * @param tokens generated tokens
	 */
	record Piece(byte[] body, String text, int tokens) {

		static final Piece EMPTY = new Piece(new byte[0], "", 0);

		boolean empty() {
			return this.body.length == 0 && this.text.isEmpty();
		}

	}

}
