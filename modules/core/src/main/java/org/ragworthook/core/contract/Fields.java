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
 * The members of one object of a text, taken out by key. A value of the wrong type is
 * reported and replaced by its default, so that reading goes on to the next mistake; what
 * nobody has taken out by the end is an unknown key.
 */
final class Fields {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

	private final Node.Members node;

	private final String what;

	private final Problems problems;

	private final Set<String> taken = new HashSet<>();

	private Fields(Node.Members node, String what, Problems problems) {
		this.node = node;
		this.what = what;
		this.problems = problems;
	}

	static Fields of(Node node, String what, Problems problems) {
		if (node instanceof Node.Members members) {
			return new Fields(members, what, problems);
		}
		problems.error(node.place(), what + " is " + node.kind(), "write an object in braces");
		return new Fields(new Node.Members(node.place(), Map.of(), Map.of()), what, problems);
	}

	Place place() {
		return this.node.place();
	}

	Place place(String key) {
		return this.node.values().containsKey(key) ? this.node.values().get(key).place() : place();
	}

	Node node() {
		return this.node;
	}

	Problems problems() {
		return this.problems;
	}

	private Optional<Node> take(String key) {
		this.taken.add(key);
		return Optional.ofNullable(this.node.values().get(key));
	}

	// -- scalars

	String name(String key) {
		Optional<Node> found = take(key);
		if (found.isEmpty()) {
			this.problems.error(place(), this.what + " has no " + key, "add \"" + key + "\": \"...\"");
			return "";
		}
		String value = string(key, "");
		if (!value.isEmpty() && !NAME.matcher(value).matches()) {
			this.problems.error(found.get().place(), key + " '" + value + "' is no valid name",
					"use up to 63 lower-case letters, digits, dots and dashes");
		}
		return value;
	}

	String string(String key, String fallback) {
		return scalar(key, Node.Type.TEXT).map(Node.Scalar::text).orElse(fallback);
	}

	int number(String key, int min, int max, int fallback) {
		Optional<Node.Scalar> found = scalar(key, Node.Type.INTEGER);
		if (found.isEmpty()) {
			return fallback;
		}
		Optional<Integer> value = inRange(found.get().text(), min, max);
		if (value.isEmpty()) {
			this.problems.error(found.get().place(), key + " " + found.get().text() + " is out of range",
					"choose a number from " + min + " to " + max);
		}
		return value.orElse(fallback);
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

	boolean flag(String key, boolean fallback) {
		return scalar(key, Node.Type.FLAG).map((found) -> Boolean.parseBoolean(found.text())).orElse(fallback);
	}

	<E extends Enum<E>> E choice(String key, E[] values, E fallback) {
		Optional<Node.Scalar> found = scalar(key, Node.Type.TEXT);
		if (found.isEmpty()) {
			return fallback;
		}
		for (E value : values) {
			if (value.name().equalsIgnoreCase(found.get().text())) {
				return value;
			}
		}
		String names = Arrays.stream(values)
			.map((value) -> value.name().toLowerCase(Locale.ROOT))
			.collect(Collectors.joining(", "));
		this.problems.error(found.get().place(), key + " '" + found.get().text() + "' is not known",
				"choose one of " + names);
		return fallback;
	}

	private Optional<Node.Scalar> scalar(String key, Node.Type type) {
		Optional<Node> found = take(key);
		if (found.isEmpty()) {
			return Optional.empty();
		}
		if (found.get() instanceof Node.Scalar scalar && scalar.type() == type) {
			return Optional.of(scalar);
		}
		this.problems.error(found.get().place(), key + " is " + found.get().kind(),
				"write " + new Node.Scalar(Place.START, type, "").kind());
		return Optional.empty();
	}

	// -- lists and objects

	List<Node.Scalar> strings(String key) {
		List<Node.Scalar> strings = new ArrayList<>();
		for (Node element : elements(key)) {
			if (element instanceof Node.Scalar scalar && scalar.type() == Node.Type.TEXT) {
				strings.add(scalar);
			}
			else {
				this.problems.error(element.place(), key + " holds " + element.kind(), "write strings only");
			}
		}
		return strings;
	}

	List<Fields> objects(String key, String noun) {
		return elements(key).stream().map((element) -> of(element, noun, this.problems)).toList();
	}

	Optional<Fields> object(String key) {
		return take(key).map((found) -> of(found, key, this.problems));
	}

	private List<Node> elements(String key) {
		Optional<Node> found = take(key);
		if (found.isPresent() && found.get() instanceof Node.Elements elements) {
			return elements.values();
		}
		found.ifPresent((node) -> this.problems.error(node.place(), key + " is " + node.kind(),
				"write an array in square brackets"));
		return List.of();
	}

	/**
	 * Reports the keys that nobody has taken out.
	 */
	void end() {
		this.node.keys().forEach((key, at) -> {
			if (!this.taken.contains(key)) {
				this.problems.error(at, "key '" + key + "' is not known in " + this.what,
						"remove it or write one of " + this.taken.stream().sorted().collect(Collectors.joining(", ")));
			}
		});
	}

}
