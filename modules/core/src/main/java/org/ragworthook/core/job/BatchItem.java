package org.ragworthook.core.job;

import java.io.IOException;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;

/**
 * One item of a job, from one line of its file. The line's keys are those of the OpenAI
 * batch API, {@code custom_id}, {@code method}, {@code url} and {@code body}, and
 * {@code idempotent}, which is {@code false} for an item that may run only once.
 *
 * @param customId the account's own name of the item
 * @param url the path that it goes to
 * @param model the model that its body names, or the empty text
 * @param body its body, JSON text as it stood in the line
 * @param idempotent whether it may be run again when its outcome is not known
 */
public record BatchItem(String customId, String url, String model, String body, boolean idempotent) {

	private static final JsonFactory JSON = new JsonFactory();

	private static final int MAX_CUSTOM_ID = 256;

	/**
	 * Checks that all parts are there.
	 */
	public BatchItem {
		Objects.requireNonNull(customId, "customId is null");
		Objects.requireNonNull(url, "url is null");
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(body, "body is null");
	}

	/**
	 * Reads an item from its line.
	 * @param number the number of the line in its file, from 1
	 * @param line the line
	 * @return the item
	 * @throws JobException if the line is broken; its message names the line
	 */
	public static BatchItem parse(int number, String line) {
		try (JsonParser parser = JSON.createParser(line)) {
			return new Line(number, line).read(parser);
		}
		catch (IOException ex) {
			throw broken(number, "is not well-formed JSON", ex);
		}
	}

	static JobException broken(int number, String what, Throwable cause) {
		return new JobException(ErrorCode.JOB_BROKEN_LINE, "line " + number + " " + what, cause);
	}

	/**
	 * Returns this item as one that may run only once.
	 * @return the item, marked
	 */
	public BatchItem once() {
		return new BatchItem(this.customId, this.url, this.model, this.body, false);
	}

	/**
	 * Returns what room at the sidecars is counted by.
	 * @return the model, or the path of an item that names none
	 */
	public String route() {
		return this.model.isEmpty() ? this.url : this.model;
	}

	/**
	 * Reads a line without building a tree of it.
	 */
	private static final class Line {

		private final int number;

		private final String line;

		private String customId = "";

		private String method = "POST";

		private String url = "";

		private String model = "";

		private String body = "";

		private boolean idempotent = true;

		Line(int number, String line) {
			this.number = number;
			this.line = line;
		}

		BatchItem read(JsonParser parser) throws IOException {
			require(parser.nextToken() == JsonToken.START_OBJECT, "is not a JSON object");
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				String name = parser.currentName();
				parser.nextToken();
				field(name, parser);
			}
			require(parser.nextToken() == null, "has text after the JSON object");
			require(!this.customId.isEmpty(), "has no custom_id");
			require(this.customId.length() <= MAX_CUSTOM_ID, "has a custom_id over 256 characters");
			require(this.method.equals("POST"), "has a method other than POST");
			require(this.url.startsWith("/"), "has no url that starts with /");
			require(!this.body.isEmpty(), "has no body");
			return new BatchItem(this.customId, this.url, this.model, this.body, this.idempotent);
		}

		private void field(String name, JsonParser parser) throws IOException {
			switch (name) {
				case "custom_id":
					this.customId = text(parser, name);
					break;
				case "method":
					this.method = text(parser, name);
					break;
				case "url":
					this.url = text(parser, name);
					break;
				case "idempotent":
					this.idempotent = flag(parser, name);
					break;
				case "body":
					body(parser);
					break;
				default:
					parser.skipChildren();
			}
		}

		private void body(JsonParser parser) throws IOException {
			require(parser.currentToken() == JsonToken.START_OBJECT, "has a body that is not a JSON object");
			int from = (int) parser.currentTokenLocation().getCharOffset();
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				String name = parser.currentName();
				parser.nextToken();
				if (name.equals("model") && parser.currentToken() == JsonToken.VALUE_STRING) {
					this.model = parser.getText();
				}
				parser.skipChildren();
			}
			this.body = this.line.substring(from, (int) parser.currentTokenLocation().getCharOffset() + 1);
		}

		private String text(JsonParser parser, String name) throws IOException {
			require(parser.currentToken() == JsonToken.VALUE_STRING, "has a " + name + " that is not a text");
			return parser.getText();
		}

		private boolean flag(JsonParser parser, String name) throws IOException {
			require(parser.currentToken().isBoolean(), "has an " + name + " that is neither true nor false");
			return parser.getBooleanValue();
		}

		private void require(boolean holds, String what) {
			if (!holds) {
				throw broken(this.number, what, null);
			}
		}

	}

}
