package org.ragworthook.daemon.settings;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Where each key stands in a text. Binding to records reports a key only after the whole
 * object was read, with the place of the object's end; an operator wants the key's.
 */
final class KeyPlaces {

	private final Map<String, JsonLocation> places;

	private KeyPlaces(Map<String, JsonLocation> places) {
		this.places = places;
	}

	/**
	 * Reads the places.
	 * @param text well-formed JSON with comments
	 * @return the place of each key that does not stand in an array
	 */
	static KeyPlaces of(String text) {
		Map<String, JsonLocation> places = new HashMap<>();
		try (JsonParser parser = new JsonFactory().enable(JsonParser.Feature.ALLOW_COMMENTS).createParser(text)) {
			Deque<String> path = new ArrayDeque<>();
			for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
				follow(parser, token, path, places);
			}
		}
		catch (IOException ex) {
			return new KeyPlaces(places);
		}
		return new KeyPlaces(places);
	}

	private static void follow(JsonParser parser, JsonToken token, Deque<String> path, Map<String, JsonLocation> places)
			throws IOException {
		if (token == JsonToken.FIELD_NAME) {
			String parent = path.isEmpty() ? "" : path.peek();
			String key = parent.isEmpty() ? parser.currentName() : parent + "." + parser.currentName();
			places.putIfAbsent(key, parser.currentTokenLocation());
		}
		else if (token.isStructStart()) {
			String name = (parser.getParsingContext().getParent().getCurrentName() != null)
					? parser.getParsingContext().getParent().getCurrentName() : "";
			String parent = path.isEmpty() ? "" : path.peek();
			path.push((parent.isEmpty() || name.isEmpty()) ? parent + name : parent + "." + name);
		}
		else if (token.isStructEnd()) {
			path.pop();
		}
	}

	/**
	 * Finds a key.
	 * @param key the names from the root, separated by dots
	 * @return the place of the key, or empty if it is not there
	 */
	Optional<JsonLocation> find(String key) {
		return Optional.ofNullable(this.places.get(key));
	}

}
