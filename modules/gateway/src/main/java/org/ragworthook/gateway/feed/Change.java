package org.ragworthook.gateway.feed;

import java.util.Objects;
import java.util.Optional;

/**
 * The current state of one entry of a collection.
 *
 * @param <T> the type of the entry
 * @param name the entry's name in its collection
 * @param value the entry, or empty if it was removed or cannot be parsed
 * @param version the version of the collection that the last change of the entry created
 */
public record Change<T>(String name, Optional<T> value, long version) {

	/**
	 * Checks the components.
	 * @throws NullPointerException if a component is null
	 */
	public Change {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(value, "value is null");
	}

}
