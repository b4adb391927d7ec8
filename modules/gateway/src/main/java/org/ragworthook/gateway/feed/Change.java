package org.ragworthook.gateway.feed;

import java.util.Objects;
import java.util.Optional;

/**
 * A named thing as it is now.
 *
 * @param <T> what it is
 * @param name its name in its collection
 * @param value what it is now, or empty if it is gone or cannot be used
 */
public record Change<T>(String name, Optional<T> value) {

	/**
	 * Checks that all parts are there.
	 */
	public Change {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(value, "value is null");
	}

}
