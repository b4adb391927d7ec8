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
		return new Job(text(node, "id"), account, node.path("host").asText(), node.path("path").asText(),
				node.path("acceptedMillis").asLong(), node.path("configurationVersion").asLong(),
				node.path("itemCount").asInt(), node.path("chunks").asInt(), node.path("tokens").asLong(),
				node.path("ended").asBoolean(), items(node.path("items")));
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
			throw malformed(new IOException("a field is missing or has another type: " + node.getNodeType()));
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
