package org.ragworthook.gateway.job;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.upstream.SoftwareVersion;

/**
 * Reads and writes the JSON documents in which batch jobs, their results and their
 * progress are stored. A document that lacks something is rejected: read as empty, it
 * would look like a job without items or a segment without results.
 */
final class JobDocuments {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String PIECES = "pieces";

	private static final String PIECES_START = "{\"" + PIECES + "\":";

	/** Keys, quotes and numbers of an outcome or of an item's progress, at most. */
	private static final int RECORD_BYTES = 200;

	/** Far more items than a job is accepted with. */
	private static final int MAX_ITEMS = 100_000;

	private JobDocuments() {
	}

	static String writeJob(Job job) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("id", job.id());
		job.account().ifPresent((account) -> node.put("account", account));
		node.put("host", job.host());
		node.put("path", job.path());
		node.put("acceptedMillis", job.acceptedMillis());
		node.put("configurationVersion", job.configurationVersion());
		node.put("itemCount", job.itemCount());
		node.put("chunks", job.chunks());
		node.put("tokens", job.tokens());
		node.put("ended", job.ended());
		node.set("items", items(job.items()));
		return text(node);
	}

	static Job readJob(String text) {
		JsonNode node = require(parse(text), JsonNode::isObject);
		Optional<String> account = Optional.ofNullable(node.path("account").textValue());
		int itemCount = (int) count(node, "itemCount", MAX_ITEMS);
		return new Job(text(node, "id"), account, node.path("host").asText(), node.path("path").asText(),
				node.path("acceptedMillis").asLong(), node.path("configurationVersion").asLong(), itemCount,
				(int) count(node, "chunks", itemCount), tokens(node, itemCount * (Integer.MAX_VALUE + 1L)),
				node.path("ended").asBoolean(), items(node.path("items")));
	}

	/**
	 * Reads a number that is not negative. A job of another writer with billions of
	 * chunks would take up the memory of the process that reads them, and its tokens
	 * count against the limit on the jobs of all callers.
	 * @param node the document
	 * @param field the field; 0 if it is missing
	 * @param max the greatest value
	 * @return the number
	 */
	private static long count(JsonNode node, String field, long max) {
		JsonNode value = node.path(field);
		if (value.isMissingNode()) {
			return 0;
		}
		return require(value, (stated) -> stated.isIntegralNumber() && stated.canConvertToLong()
				&& stated.longValue() >= 0 && stated.longValue() <= max)
			.longValue();
	}

	/**
	 * Reads the tokens of a job. Jobs with negative ones have been accepted and have to
	 * be run; such tokens must not make room for other jobs, so they count as none.
	 * @param node the document
	 * @param max the greatest value
	 * @return the tokens
	 */
	private static long tokens(JsonNode node, long max) {
		JsonNode value = node.path("tokens");
		boolean negative = value.isIntegralNumber() && value.canConvertToLong() && value.longValue() < 0
				&& value.longValue() >= -max;
		return negative ? 0 : count(node, "tokens", max);
	}

	static String writeItems(List<JobItem> items) {
		return text(items(items));
	}

	static List<JobItem> readItems(String text) {
		return items(require(parse(text), JsonNode::isArray));
	}

	static String writeOutcomes(List<ItemOutcome> outcomes) {
		ArrayNode array = MAPPER.createArrayNode();
		for (ItemOutcome outcome : outcomes) {
			ObjectNode node = array.addObject();
			node.put("item", outcome.itemId());
			node.put("completed", outcome.completed());
			node.put("output", outcome.output());
		}
		return text(array);
	}

	static List<ItemOutcome> readOutcomes(String text) {
		List<ItemOutcome> outcomes = new ArrayList<>();
		for (JsonNode node : require(parse(text), JsonNode::isArray)) {
			outcomes.add(new ItemOutcome(text(node, "item"),
					require(node.path("completed"), JsonNode::isBoolean).booleanValue(), text(node, "output")));
		}
		return outcomes;
	}

	static String writeProgress(List<ItemProgress> items) {
		ArrayNode array = MAPPER.createArrayNode();
		for (ItemProgress item : items) {
			ObjectNode node = array.addObject();
			node.put("job", item.jobId());
			node.put("item", item.itemId());
			node.put("lastEvent", item.lastEvent());
			item.origin()
				.ifPresent((origin) -> node.put("service", origin.service())
					.put("version", origin.version().label().orElse("")));
			node.put("output", item.output());
		}
		return text(array);
	}

	static List<ItemProgress> readProgress(String text) {
		List<ItemProgress> items = new ArrayList<>();
		for (JsonNode node : require(parse(text), JsonNode::isArray)) {
			items.add(new ItemProgress(text(node, "job"), text(node, "item"),
					require(node.path("lastEvent"), JsonNode::isIntegralNumber).longValue(), origin(node),
					text(node, "output")));
		}
		return items;
	}

	/**
	 * Writes the list of the pieces of a document that exceeds an object.
	 * @param digests the digests of the pieces in order
	 * @return the list
	 */
	static String writePieces(List<String> digests) {
		ObjectNode node = MAPPER.createObjectNode();
		ArrayNode array = node.putArray(PIECES);
		digests.forEach(array::add);
		return text(node);
	}

	/**
	 * Reads a list of pieces.
	 * @param text the text of an object, a whole document or a list of its pieces
	 * @return the digests of the pieces in order, or empty if the text is no such list
	 */
	static Optional<List<String>> readPieces(String text) {
		if (!text.startsWith(PIECES_START)) {
			return Optional.empty();
		}
		List<String> digests = new ArrayList<>();
		require(parse(text).path(PIECES), JsonNode::isArray)
			.forEach((digest) -> digests.add(require(digest, JsonNode::isTextual).textValue()));
		return Optional.of(digests);
	}

	/**
	 * Returns the maximum size of an outcome in a stored segment.
	 * @param outcome the outcome
	 * @return the size in bytes, encoded as part of a JSON string
	 */
	static long maxSize(ItemOutcome outcome) {
		return RECORD_BYTES + JsonSize.maxNested(outcome.itemId()) + JsonSize.maxNested(outcome.output());
	}

	/**
	 * Returns the maximum size of an item's progress in a stored document.
	 * @param item the progress
	 * @return the size in bytes, encoded as part of a JSON string
	 */
	static long maxSize(ItemProgress item) {
		long origin = item.origin()
			.map((from) -> JsonSize.maxNested(from.service()) + JsonSize.maxNested(from.version().label().orElse("")))
			.orElse(0L);
		return RECORD_BYTES + origin + JsonSize.maxNested(item.jobId()) + JsonSize.maxNested(item.itemId())
				+ JsonSize.maxNested(item.output());
	}

	private static Optional<StreamOrigin> origin(JsonNode node) {
		return Optional.ofNullable(node.path("service").textValue())
			.map((service) -> new StreamOrigin(service, SoftwareVersion.of(text(node, "version"))));
	}

	private static ArrayNode items(List<JobItem> items) {
		ArrayNode array = MAPPER.createArrayNode();
		for (JobItem item : items) {
			ObjectNode node = array.addObject();
			node.put("id", item.id());
			node.put("path", item.path());
			ObjectNode headers = node.putObject("headers");
			item.headers().forEach(headers::put);
			node.put("body", item.body());
			node.put("tokens", item.tokens());
		}
		return array;
	}

	private static List<JobItem> items(JsonNode array) {
		List<JobItem> items = new ArrayList<>();
		for (JsonNode node : array) {
			Map<String, String> headers = new HashMap<>();
			node.path("headers")
				.fields()
				.forEachRemaining((field) -> headers.put(field.getKey(), field.getValue().asText()));
			items.add(new JobItem(node.path("id").asText(), node.path("path").asText(), headers,
					node.path("body").asText(), node.path("tokens").asInt()));
		}
		return items;
	}

	private static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (IOException ex) {
			throw malformed(ex);
		}
	}

	private static JsonNode require(JsonNode node, Predicate<JsonNode> type) {
		if (!type.test(node)) {
			throw malformed(
					new IOException("a field is missing, out of range or has another type: " + node.getNodeType()));
		}
		return node;
	}

	private static String text(JsonNode node, String field) {
		return require(node.path(field), JsonNode::isTextual).textValue();
	}

	private static UncheckedIOException malformed(IOException cause) {
		return new UncheckedIOException("a stored job document is malformed", cause);
	}

	private static String text(JsonNode node) {
		try {
			return MAPPER.writeValueAsString(node);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
