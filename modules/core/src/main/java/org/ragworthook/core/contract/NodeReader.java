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
 * Parses JSON with comments into a tree of nodes with positions. Uses Jackson's streaming
 * parser instead of its data binding, which would stop at the first schema error.
 */
final class NodeReader {

	private static final JsonFactory FACTORY = new JsonFactoryBuilder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private final JsonParser parser;

	private final ProblemCollector problems;

	private NodeReader(JsonParser parser, ProblemCollector problems) {
		this.parser = parser;
		this.problems = problems;
	}

	static Optional<Node> read(String text, ProblemCollector problems) {
		try (JsonParser parser = FACTORY.createParser(text)) {
			NodeReader reader = new NodeReader(parser, problems);
			if (parser.nextToken() == null) {
				problems.error(SourcePosition.START, "the text is empty", "write a JSON object; examples/ holds two");
				return Optional.empty();
			}
			Node root = reader.value();
			if (parser.nextToken() != null) {
				problems.error(reader.position(), "something follows the end of the object", "remove it");
				return Optional.empty();
			}
			return Optional.of(root);
		}
		catch (JsonProcessingException ex) {
			problems.error(position(ex.getLocation()), "not well-formed JSON: " + ex.getOriginalMessage(),
					"mend the JSON here; comments and a trailing comma are allowed");
			return Optional.empty();
		}
		catch (IOException ex) {
			throw new IllegalStateException("I/O error while reading JSON from a string", ex);
		}
	}

	private Node value() throws IOException {
		SourcePosition position = position();
		JsonToken token = this.parser.currentToken();
		if (token == JsonToken.START_OBJECT) {
			return object(position);
		}
		if (token == JsonToken.START_ARRAY) {
			return elements(position);
		}
		return new Node.Scalar(position, type(token), this.parser.getText());
	}

	private Node object(SourcePosition position) throws IOException {
		Map<String, Node> values = new LinkedHashMap<>();
		Map<String, SourcePosition> keyPositions = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String key = this.parser.currentName();
			SourcePosition at = position();
			this.parser.nextToken();
			Node value = value();
			if (values.putIfAbsent(key, value) != null) {
				this.problems.error(at, "key '" + key + "' stands twice in one object", "remove one of the two");
			}
			keyPositions.putIfAbsent(key, at);
		}
		return new Node.ObjectValue(position, values, keyPositions);
	}

	private Node elements(SourcePosition position) throws IOException {
		List<Node> values = new ArrayList<>();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			values.add(value());
		}
		return new Node.ArrayValue(position, values);
	}

	private SourcePosition position() {
		return position(this.parser.currentTokenLocation());
	}

	private static SourcePosition position(JsonLocation location) {
		return (location != null) ? new SourcePosition(location.getLineNr(), location.getColumnNr())
				: SourcePosition.START;
	}

	private static Node.Type type(JsonToken token) {
		return switch (token) {
			case VALUE_STRING -> Node.Type.STRING;
			case VALUE_NUMBER_INT -> Node.Type.INTEGER;
			case VALUE_NUMBER_FLOAT -> Node.Type.DECIMAL;
			case VALUE_TRUE, VALUE_FALSE -> Node.Type.BOOLEAN;
			default -> Node.Type.NULL;
		};
	}

}
