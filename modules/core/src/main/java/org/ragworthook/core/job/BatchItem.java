package org.ragworthook.core.job;

import java.io.IOException;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;

/**
 * One item of a batch job, parsed from one line of the job's input file. The line has the
 * keys of the OpenAI batch API, {@code custom_id}, {@code method}, {@code url} and
 * {@code body}, and the additional key {@code idempotent}, which is {@code false} for an
 * item that must not run more than once.
 *
 * @param customId the identifier that the account gave the item, unique within its file
 * @param url the request path
 * @param model the model named in the body, or the empty string
 * @param body the request body, the JSON text as it stands in the line
 * @param idempotent whether the item may be run again if the outcome of an attempt is
 * unknown
 */
public record BatchItem(String customId, String url, String model, String body, boolean idempotent) {

	private static final JsonFactory JSON = new JsonFactory();

	private static final int MAX_CUSTOM_ID = 256;

	/**
	 * Checks that no component is null.
	 */
	public BatchItem {
		Objects.requireNonNull(customId, "customId is null");
		Objects.requireNonNull(url, "url is null");
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(body, "body is null");
	}

	/**
	 * Parses an item from a line of an input file.
	 * @param number the line number, from 1
	 * @param line the line
	 * @return the item
	 * @throws JobException if the line is invalid; the message names the line number
	 */
	public static BatchItem parse(int number, String line) {
		try (JsonParser parser = JSON.createParser(line)) {
			return new Line(number, line).read(parser);
		}
		catch (IOException ex) {
			throw invalidLine(number, "is not well-formed JSON", ex);
		}
	}

	static JobException invalidLine(int number, String problem, Throwable cause) {
		return new JobException(ErrorCode.JOB_BROKEN_LINE, "line " + number + " " + problem, cause);
	}

	/**
	 * Returns a copy of this item that is not idempotent.
	 * @return the copy
	 */
	public BatchItem asNonIdempotent() {
		return new BatchItem(this.customId, this.url, this.model, this.body, false);
	}

	/**
	 * Returns the route by which the free slots of sidecars are counted.
	 * @return the model, or the URL path if the item names no model
	 */
	public String route() {
		return this.model.isEmpty() ? this.url : this.model;
	}

	/**
	 * Parses a line with a streaming parser, without building a tree.
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
					this.customId = stringValue(parser, name);
					break;
				case "method":
					this.method = stringValue(parser, name);
					break;
				case "url":
					this.url = stringValue(parser, name);
					break;
				case "idempotent":
					this.idempotent = booleanValue(parser, name);
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

		private String stringValue(JsonParser parser, String name) throws IOException {
			require(parser.currentToken() == JsonToken.VALUE_STRING, "has a " + name + " that is not a text");
			return parser.getText();
		}

		private boolean booleanValue(JsonParser parser, String name) throws IOException {
			require(parser.currentToken().isBoolean(), "has an " + name + " that is neither true nor false");
			return parser.getBooleanValue();
		}

		private void require(boolean condition, String problem) {
			if (!condition) {
				throw invalidLine(this.number, problem, null);
			}
		}

	}

}
