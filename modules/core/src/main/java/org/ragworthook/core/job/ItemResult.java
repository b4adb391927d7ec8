package org.ragworthook.core.job;

import java.io.IOException;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;

/**
 * How one item ended, with the line that the account reads: the form of the OpenAI batch
 * API with the keys {@code id}, {@code custom_id}, {@code response} and {@code error}. In
 * a record it is one line of JSON with the keys {@code index}, {@code end} and, always
 * last, {@code line}.
 *
 * @param index the item's number in its chunk
 * @param end how it ended
 * @param line the line that the account reads, JSON text
 */
public record ItemResult(int index, ItemStatus end, String line) {

	private static final JsonFactory JSON = new JsonFactory();

	private static final String LINE = "line";

	/**
	 * Checks that all parts are there.
	 */
	public ItemResult {
		Objects.requireNonNull(end, "end is null");
		Objects.requireNonNull(line, "line is null");
	}

	/**
	 * Returns the result of an item that was answered.
	 * @param name which item
	 * @param end whether the answer is a success
	 * @param answer the upstream's answer
	 * @return the result
	 */
	static ItemResult answered(ItemId name, ItemStatus end, ItemOutcome.Answered answer) {
		ObjectNode line = head(name);
		ObjectNode response = line.putObject("response");
		response.put("status_code", answer.status());
		response.put("request_id", name.requestId());
		response.set("body", parsed(answer.body()));
		line.putNull("error");
		return new ItemResult(name.index(), end, line.toString());
	}

	/**
	 * Returns the result of an item that has no answer.
	 * @param name which item
	 * @param end how it ended
	 * @param code the kind of error
	 * @param detail what happened
	 * @return the result
	 */
	static ItemResult without(ItemId name, ItemStatus end, ErrorCode code, String detail) {
		ObjectNode line = head(name);
		line.putNull("response");
		ObjectNode error = line.putObject("error");
		error.put("code", end.name().toLowerCase(java.util.Locale.ROOT));
		error.put("message", new JobException(code, detail).getMessage());
		return new ItemResult(name.index(), end, line.toString());
	}

	private static ObjectNode head(ItemId name) {
		return JobJson.MAPPER.createObjectNode().put("id", name.requestId()).put("custom_id", name.customId());
	}

	// An answer over several lines would break the account's file, so that JSON is
	// written
	// anew; what is not JSON becomes a text.
	private static JsonNode parsed(String body) {
		try {
			JsonNode node = JobJson.MAPPER.readTree(body);
			return node.isMissingNode() ? TextNode.valueOf(body) : node;
		}
		catch (JsonProcessingException ex) {
			return TextNode.valueOf(body);
		}
	}

	/**
	 * Reads a result from its line of the record.
	 * @param text one line
	 * @return the result
	 */
	static ItemResult parse(String text) {
		try (JsonParser parser = JSON.createParser(text)) {
			int index = 0;
			ItemStatus end = null;
			parser.nextToken();
			while (parser.nextFieldName() != null) {
				String name = parser.currentName();
				parser.nextToken();
				if (name.equals(LINE)) {
					int from = (int) parser.currentTokenLocation().getCharOffset();
					return new ItemResult(index, end, text.substring(from, text.length() - 1));
				}
				if (name.equals("index")) {
					index = parser.getIntValue();
				}
				else if (name.equals("end")) {
					end = ItemStatus.valueOf(parser.getText());
				}
			}
			throw new JobException(ErrorCode.INTERNAL, "a result has no line");
		}
		catch (IOException ex) {
			throw new JobException(ErrorCode.INTERNAL, "a result is not well-formed", ex);
		}
	}

	/**
	 * Returns the result as one line of the record.
	 * @return the line, without its end
	 */
	String text() {
		return "{\"index\":" + this.index + ",\"end\":\"" + this.end + "\",\"" + LINE + "\":" + this.line + "}";
	}

}
