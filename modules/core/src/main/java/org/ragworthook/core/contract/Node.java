package org.ragworthook.core.contract;

import java.util.List;
import java.util.Map;

/**
 * A JSON value that knows where it stands in its text.
 */
sealed interface Node permits Node.Members, Node.Elements, Node.Scalar {

	/**
	 * Returns where the value begins.
	 * @return the place
	 */
	Place place();

	/**
	 * Returns what kind of value this is, for messages.
	 * @return a noun with its article
	 */
	String kind();

	/**
	 * An object.
	 *
	 * @param place where it begins
	 * @param values its values by key, in order of the text
	 * @param keys where each key stands
	 */
	record Members(Place place, Map<String, Node> values, Map<String, Place> keys) implements Node {

		@Override
		public String kind() {
			return "an object";
		}

	}

	/**
	 * An array.
	 *
	 * @param place where it begins
	 * @param values its values
	 */
	record Elements(Place place, List<Node> values) implements Node {

		@Override
		public String kind() {
			return "an array";
		}

	}

	/**
	 * A text, a number, a truth value or null.
	 *
	 * @param place where it stands
	 * @param type what it is
	 * @param text its value as it was written, without quotes
	 */
	record Scalar(Place place, Type type, String text) implements Node {

		@Override
		public String kind() {
			return this.type.noun;
		}

	}

	/**
	 * The types of scalars.
	 */
	enum Type {

		/** A string. */
		TEXT("a string"),

		/** A number without a fraction. */
		INTEGER("a whole number"),

		/** A number with a fraction. */
		FRACTION("a number with a fraction"),

		/** True or false. */
		FLAG("true or false"),

		/** Null. */
		NULL("null");

		private final String noun;

		Type(String noun) {
			this.noun = noun;
		}

	}

}
