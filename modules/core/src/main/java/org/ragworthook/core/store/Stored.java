package org.ragworthook.core.store;

import java.util.Objects;

/**
 * An object as it was at one version.
 *
 * @param key which object
 * @param version the version that a conditional write must name; greater is newer, across
 * all objects of the platform
 * @param draft its content
 */
public record Stored(ObjectKey key, long version, Draft draft) {

	/**
	 * Checks that all parts are there.
	 */
	public Stored {
		Objects.requireNonNull(key, "key is null");
		Objects.requireNonNull(draft, "draft is null");
	}

	/**
	 * Returns the value.
	 * @return text, encoded as UTF-8 at the platform
	 */
	public String text() {
		return this.draft.text();
	}

}
