package org.ragworthook.core.store;

import java.util.Objects;

/**
 * A version of an object, as stored at the platform.
 *
 * @param key the object's key
 * @param version the version that a conditional write must state; versions increase
 * across all objects of the platform
 * @param draft the content of this version
 */
public record Stored(ObjectKey key, long version, Draft draft) {

	/**
	 * Rejects null components.
	 */
	public Stored {
		Objects.requireNonNull(key, "key is null");
		Objects.requireNonNull(draft, "draft is null");
	}

	/**
	 * Returns the value.
	 * @return the value, which the platform stores as UTF-8
	 */
	public String text() {
		return this.draft.text();
	}

}
