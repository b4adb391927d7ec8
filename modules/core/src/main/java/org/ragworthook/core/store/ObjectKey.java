package org.ragworthook.core.store;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Names one object at the platform.
 *
 * @param kind the collection it is in
 * @param name its name within the collection: lower-case letters, digits, dots and
 * dashes, at most 253 characters
 */
public record ObjectKey(Kind kind, String name) {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?");

	/**
	 * Checks the name.
	 * @throws IllegalArgumentException if the platform would not take the name
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
	 * @param kind the collection it is in
	 * @param name its name within the collection
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
