package org.ragworthook.core.contract;

import java.util.List;
import java.util.Map;

/**
 * A JSON value with its position in the source text.
 */
sealed interface Node permits Node.ObjectValue, Node.ArrayValue, Node.Scalar {

	/**
	 * Returns the position of the start of the value.
	 * @return the position
	 */
	SourcePosition position();

	/**
	 * Returns the name of the type of this value, for error messages.
	 * @return a noun with its article
	 */
	String typeName();

	/**
	 * A JSON object.
	 *
	 * @param position the position of the opening bracket
	 * @param values the values by key, in the order of the text
	 * @param keyPositions the position of each key
	 */
	record ObjectValue(SourcePosition position, Map<String, Node> values,
			Map<String, SourcePosition> keyPositions) implements Node {

		@Override
		public String typeName() {
			return "an object";
		}

	}

	/**
	 * A JSON array.
	 *
	 * @param position the position of the opening bracket
	 * @param values the elements
	 */
	record ArrayValue(SourcePosition position, List<Node> values) implements Node {

		@Override
		public String typeName() {
			return "an array";
		}

	}

	/**
	 * A string, number, boolean or null.
	 *
	 * @param position the position of the value
	 * @param type the type of the value
	 * @param text the value as written, without quotes
	 */
	record Scalar(SourcePosition position, Type type, String text) implements Node {

		@Override
		public String typeName() {
			return this.type.noun;
		}

	}

	/**
	 * The types of scalars.
	 */
	enum Type {

		/** A string. */
		STRING("a string"),

		/** A number without a fraction. */
		INTEGER("a whole number"),

		/** A number with a fraction. */
		DECIMAL("a number with a fraction"),

		/** True or false. */
		BOOLEAN("true or false"),

		/** Null. */
		NULL("null");

		private final String noun;

		Type(String noun) {
			this.noun = noun;
		}

	}

}
