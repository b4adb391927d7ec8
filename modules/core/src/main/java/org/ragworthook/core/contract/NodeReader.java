package org.ragworthook.core.contract;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/**
 * Reads JSON with comments into nodes that know their place. The parser is Jackson's;
 * only its data binding is left aside, because that stops at the first mistake.
 */
final class NodeReader {

	private static final JsonFactory FACTORY = new JsonFactoryBuilder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private final JsonParser parser;

	private final Problems problems;

	private NodeReader(JsonParser parser, Problems problems) {
		this.parser = parser;
		this.problems = problems;
	}

	static Optional<Node> read(String text, Problems problems) {
		try (JsonParser parser = FACTORY.createParser(text)) {
			NodeReader reader = new NodeReader(parser, problems);
			if (parser.nextToken() == null) {
				problems.error(Place.START, "the text is empty", "write a JSON object; examples/ holds two");
				return Optional.empty();
			}
			Node root = reader.value();
			if (parser.nextToken() != null) {
				problems.error(reader.place(), "something follows the end of the object", "remove it");
				return Optional.empty();
			}
			return Optional.of(root);
		}
		catch (JsonProcessingException ex) {
			problems.error(place(ex.getLocation()), "not well-formed JSON: " + ex.getOriginalMessage(),
					"mend the JSON here; comments and a trailing comma are allowed");
			return Optional.empty();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a text in memory cannot fail to be read", ex);
		}
	}

	private Node value() throws IOException {
		Place place = place();
		JsonToken token = this.parser.currentToken();
		if (token == JsonToken.START_OBJECT) {
			return members(place);
		}
		if (token == JsonToken.START_ARRAY) {
			return elements(place);
		}
		return new Node.Scalar(place, type(token), this.parser.getText());
	}

	private Node members(Place place) throws IOException {
		Map<String, Node> values = new LinkedHashMap<>();
		Map<String, Place> keys = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String key = this.parser.currentName();
			Place at = place();
			this.parser.nextToken();
			Node value = value();
			if (values.putIfAbsent(key, value) != null) {
				this.problems.error(at, "key '" + key + "' stands twice in one object", "remove one of the two");
			}
			keys.putIfAbsent(key, at);
		}
		return new Node.Members(place, values, keys);
	}

	private Node elements(Place place) throws IOException {
		List<Node> values = new ArrayList<>();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			values.add(value());
		}
		return new Node.Elements(place, values);
	}

	private Place place() {
		return place(this.parser.currentTokenLocation());
	}

	private static Place place(JsonLocation location) {
		return (location != null) ? new Place(location.getLineNr(), location.getColumnNr()) : Place.START;
	}

	private static Node.Type type(JsonToken token) {
		return switch (token) {
			case VALUE_STRING -> Node.Type.TEXT;
			case VALUE_NUMBER_INT -> Node.Type.INTEGER;
			case VALUE_NUMBER_FLOAT -> Node.Type.FRACTION;
			case VALUE_TRUE, VALUE_FALSE -> Node.Type.FLAG;
			default -> Node.Type.NULL;
		};
	}

}
