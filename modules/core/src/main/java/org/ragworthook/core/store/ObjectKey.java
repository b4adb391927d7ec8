package org.ragworthook.core.store;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identifies an object at the platform.
 *
 * @param kind the object's collection
 * @param name the object's name within the collection: 1 to 253 lower-case letters,
 * digits, dots and dashes, beginning and ending with a letter or digit
 */
public record ObjectKey(Kind kind, String name) {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?");

	/**
	 * Validates the name.
	 * @throws IllegalArgumentException if the platform would reject the name
	 */
	public ObjectKey {
		Objects.requireNonNull(kind, "kind is null");
		Objects.requireNonNull(name, "name is null");
		if (!NAME.matcher(name).matches()) {
			throw new IllegalArgumentException("name '" + name + "' is not a valid object name");
		}
	}

	/**
	 * Returns the key of an object.
	 * @param kind the object's collection
	 * @param name the object's name within the collection
	 * @return the key
	 */
	public static ObjectKey of(Kind kind, String name) {
		return new ObjectKey(kind, name);
	}

	@Override
	public String toString() {
		return this.kind.collection() + "/" + this.name;
	}

}
