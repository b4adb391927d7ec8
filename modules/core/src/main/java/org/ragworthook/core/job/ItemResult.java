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
 * The result of one item, with the line of the output or error file, which has the keys
 * {@code id}, {@code custom_id}, {@code response} and {@code error} of the OpenAI batch
 * API. In a result record it is one line of JSON with the keys {@code index}, {@code
 * end} and {@code line}; {@code line} always comes last.
 *
 * @param index the index of the item in its chunk
 * @param end the final status of the item
 * @param line the line of the output or error file, JSON text
 */
public record ItemResult(int index, ItemStatus end, String line) {

	private static final JsonFactory JSON = new JsonFactory();

	private static final String LINE = "line";

	/**
	 * Checks that no component is null.
	 */
	public ItemResult {
		Objects.requireNonNull(end, "end is null");
		Objects.requireNonNull(line, "line is null");
	}

	/**
	 * Returns the result of an item that an upstream answered.
	 * @param id the identifier of the item
	 * @param end the final status of the item
	 * @param answer the upstream's answer
	 * @return the result
	 */
	static ItemResult answered(ItemId id, ItemStatus end, ItemOutcome.Answered answer) {
		ObjectNode line = lineWithIds(id);
		ObjectNode response = line.putObject("response");
		response.put("status_code", answer.status());
		response.put("request_id", id.requestId());
		response.set("body", bodyNode(answer.body()));
		line.putNull("error");
		return new ItemResult(id.index(), end, line.toString());
	}

	/**
	 * Returns the result of an item without an answer.
	 * @param id the identifier of the item
	 * @param end the final status of the item
	 * @param code the error code
	 * @param detail the error message
	 * @return the result
	 */
	static ItemResult unanswered(ItemId id, ItemStatus end, ErrorCode code, String detail) {
		ObjectNode line = lineWithIds(id);
		line.putNull("response");
		ObjectNode error = line.putObject("error");
		error.put("code", end.name().toLowerCase(java.util.Locale.ROOT));
		error.put("message", new JobException(code, detail).getMessage());
		return new ItemResult(id.index(), end, line.toString());
	}

	private static ObjectNode lineWithIds(ItemId id) {
		return JobJson.MAPPER.createObjectNode().put("id", id.requestId()).put("custom_id", id.customId());
	}

	// Reformats a JSON body, because line ends in it would break the line format of the
	// file. A body that is not JSON becomes a JSON string.
	private static JsonNode bodyNode(String body) {
		try {
			JsonNode node = JobJson.MAPPER.readTree(body);
			return node.isMissingNode() ? TextNode.valueOf(body) : node;
		}
		catch (JsonProcessingException ex) {
			return TextNode.valueOf(body);
		}
	}

	/**
	 * Parses a result from its line of a result record.
	 * @param text the line
	 * @return the result
	 */
	static ItemResult parse(String text) {
		try (JsonParser parser = JSON.createParser(text)) {
			int index = 0;
			ItemStatus end = null;
			parser.nextToken();
			while (parser.nextFieldName() != null) {
				String field = parser.currentName();
				parser.nextToken();
				if (field.equals(LINE)) {
					int from = (int) parser.currentTokenLocation().getCharOffset();
					return new ItemResult(index, end, text.substring(from, text.length() - 1));
				}
				if (field.equals("index")) {
					index = parser.getIntValue();
				}
				else if (field.equals("end")) {
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
	 * Returns the line of a result record for this result.
	 * @return the line, without a line end
	 */
	String text() {
		return "{\"index\":" + this.index + ",\"end\":\"" + this.end + "\",\"" + LINE + "\":" + this.line + "}";
	}

}
