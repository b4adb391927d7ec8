package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Typed access to the members of one JSON object. A value of the wrong type is reported
 * and replaced by its default, so that later errors are found in the same pass. Keys that
 * have not been read by the time {@link #reportUnknownKeys()} is called are reported as
 * unknown.
 */
final class ObjectFields {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

	private final Node.ObjectValue node;

	private final String description;

	private final ProblemCollector problems;

	private final Set<String> readKeys = new HashSet<>();

	private ObjectFields(Node.ObjectValue node, String description, ProblemCollector problems) {
		this.node = node;
		this.description = description;
		this.problems = problems;
	}

	static ObjectFields of(Node node, String description, ProblemCollector problems) {
		if (node instanceof Node.ObjectValue object) {
			return new ObjectFields(object, description, problems);
		}
		problems.error(node.position(), description + " is " + node.typeName(), "write an object in braces");
		return new ObjectFields(new Node.ObjectValue(node.position(), Map.of(), Map.of()), description, problems);
	}

	SourcePosition position() {
		return this.node.position();
	}

	SourcePosition position(String key) {
		return this.node.values().containsKey(key) ? this.node.values().get(key).position() : position();
	}

	Node node() {
		return this.node;
	}

	ProblemCollector problems() {
		return this.problems;
	}

	private Optional<Node> find(String key) {
		this.readKeys.add(key);
		return Optional.ofNullable(this.node.values().get(key));
	}

	// -- scalars

	String name(String key) {
		Optional<Node> found = find(key);
		if (found.isEmpty()) {
			this.problems.error(position(), this.description + " has no " + key, "add \"" + key + "\": \"...\"");
			return "";
		}
		String value = string(key, "");
		if (!value.isEmpty() && !NAME.matcher(value).matches()) {
			this.problems.error(found.get().position(), key + " '" + value + "' is no valid name",
					"use up to 63 lower-case letters, digits, dots and dashes");
		}
		return value;
	}

	String string(String key, String defaultValue) {
		return scalar(key, Node.Type.STRING).map(Node.Scalar::text).orElse(defaultValue);
	}

	int number(String key, int min, int max, int defaultValue) {
		Optional<Node.Scalar> found = scalar(key, Node.Type.INTEGER);
		if (found.isEmpty()) {
			return defaultValue;
		}
		Optional<Integer> value = inRange(found.get().text(), min, max);
		if (value.isEmpty()) {
			this.problems.error(found.get().position(), key + " " + found.get().text() + " is out of range",
					"choose a number from " + min + " to " + max);
		}
		return value.orElse(defaultValue);
	}

	private static Optional<Integer> inRange(String text, int min, int max) {
		try {
			int value = Integer.parseInt(text);
			return (value >= min && value <= max) ? Optional.of(value) : Optional.empty();
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	boolean bool(String key, boolean defaultValue) {
		return scalar(key, Node.Type.BOOLEAN).map((found) -> Boolean.parseBoolean(found.text())).orElse(defaultValue);
	}

	<E extends Enum<E>> E enumValue(String key, E[] values, E defaultValue) {
		Optional<Node.Scalar> found = scalar(key, Node.Type.STRING);
		if (found.isEmpty()) {
			return defaultValue;
		}
		for (E value : values) {
			if (value.name().equalsIgnoreCase(found.get().text())) {
				return value;
			}
		}
		String names = Arrays.stream(values)
			.map((value) -> value.name().toLowerCase(Locale.ROOT))
			.collect(Collectors.joining(", "));
		this.problems.error(found.get().position(), key + " '" + found.get().text() + "' is not known",
				"choose one of " + names);
		return defaultValue;
	}

	private Optional<Node.Scalar> scalar(String key, Node.Type type) {
		Optional<Node> found = find(key);
		if (found.isEmpty()) {
			return Optional.empty();
		}
		if (found.get() instanceof Node.Scalar scalar && scalar.type() == type) {
			return Optional.of(scalar);
		}
		this.problems.error(found.get().position(), key + " is " + found.get().typeName(),
				"write " + new Node.Scalar(SourcePosition.START, type, "").typeName());
		return Optional.empty();
	}

	// -- arrays and objects

	List<Node.Scalar> strings(String key) {
		List<Node.Scalar> strings = new ArrayList<>();
		for (Node element : elements(key)) {
			if (element instanceof Node.Scalar scalar && scalar.type() == Node.Type.STRING) {
				strings.add(scalar);
			}
			else {
				this.problems.error(element.position(), key + " holds " + element.typeName(), "write strings only");
			}
		}
		return strings;
	}

	List<ObjectFields> objects(String key, String noun) {
		return elements(key).stream().map((element) -> of(element, noun, this.problems)).toList();
	}

	Optional<ObjectFields> object(String key) {
		return find(key).map((found) -> of(found, key, this.problems));
	}

	private List<Node> elements(String key) {
		Optional<Node> found = find(key);
		if (found.isPresent() && found.get() instanceof Node.ArrayValue array) {
			return array.values();
		}
		found.ifPresent((node) -> this.problems.error(node.position(), key + " is " + node.typeName(),
				"write an array in square brackets"));
		return List.of();
	}

	/**
	 * Reports each key of the object that has not been read.
	 */
	void reportUnknownKeys() {
		this.node.keyPositions().forEach((key, at) -> {
			if (!this.readKeys.contains(key)) {
				this.problems.error(at, "key '" + key + "' is not known in " + this.description,
						"remove it or write one of "
								+ this.readKeys.stream().sorted().collect(Collectors.joining(", ")));
			}
		});
	}

}
