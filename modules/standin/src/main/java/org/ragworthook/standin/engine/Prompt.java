package org.ragworthook.standin.engine;

import java.util.Objects;
import java.util.Optional;
import java.util.StringTokenizer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * What a request asks the engine to go on from.
 *
 * @param text the whole text so far, as the engine renders it
 * @param maxTokens the most tokens to generate
 * @param ignoreEnd whether to go on where the text would end
 */
public record Prompt(String text, int maxTokens, boolean ignoreEnd) {

	/** A request with this text in it crashes the engine. */
	public static final String CRASH_MARKER = "[[crash]]";

	private static final Pattern TAG = Pattern.compile("\\[\\[tag:([A-Za-z0-9-]+)]]");

	/**
	 * Checks that the text is there.
	 */
	public Prompt {
		Objects.requireNonNull(text, "text is null");
	}

	/**
	 * Reads a chat completion request.
	 * @param body the request
	 * @return its prompt
	 * @throws IllegalArgumentException if there are no messages
	 */
	public static Prompt chat(JsonObject body) {
		JsonArray messages = body.getJsonArray("messages");
		if (messages == null || messages.isEmpty()) {
			throw new IllegalArgumentException("messages must not be empty");
		}
		boolean goesOn = body.getBoolean("continue_final_message", false);
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < messages.size(); i++) {
			JsonObject message = messages.getJsonObject(i);
			boolean last = goesOn && i == messages.size() - 1;
			text.append(message.getString("role")).append(": ").append(content(message)).append(last ? "" : "\n");
		}
		if (!goesOn) {
			text.append("assistant: ");
		}
		return of(text.toString(), body);
	}

	/**
	 * Reads a completion request.
	 * @param body the request
	 * @return its prompt
	 * @throws IllegalArgumentException if there is no prompt
	 */
	public static Prompt completion(JsonObject body) {
		Object prompt = body.getValue("prompt");
		if (prompt instanceof JsonArray several && several.size() == 1) {
			prompt = several.getValue(0);
		}
		if (prompt instanceof String text) {
			return of(text, body);
		}
		throw new IllegalArgumentException("prompt must be one text");
	}

	private static Prompt of(String text, JsonObject body) {
		Integer limit = Optional.ofNullable(body.getInteger("max_tokens"))
			.orElseGet(() -> body.getInteger("max_completion_tokens", Continuation.DEFAULT_MAX_TOKENS));
		return new Prompt(text, limit, body.getBoolean("ignore_eos", false));
	}

	private static String content(JsonObject message) {
		if (message.getValue("content") instanceof JsonArray parts) {
			StringBuilder text = new StringBuilder();
			parts.forEach((part) -> text.append(((JsonObject) part).getString("text", "")));
			return text.toString();
		}
		return message.getString("content", "");
	}

	/**
	 * Returns the whole answer to this prompt.
	 * @return the text that an undisturbed engine generates
	 */
	public String answer() {
		return Continuation.answer(this.text, this.maxTokens, this.ignoreEnd);
	}

	/**
	 * Returns the length of the prompt.
	 * @return words
	 */
	public int tokens() {
		return new StringTokenizer(this.text).countTokens();
	}

	/**
	 * Tells whether the request crashes the engine.
	 * @return whether the text has the marker
	 */
	public boolean crashes() {
		return this.text.contains(CRASH_MARKER);
	}

	/**
	 * Returns the tag that the starts of this request are counted by.
	 * @return the tag in {@code [[tag:...]]}, or empty
	 */
	public Optional<String> tag() {
		Matcher matcher = TAG.matcher(this.text);
		return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
	}

}
