package org.ragworthook.core.store;

import java.util.Objects;

/**
 * A change of an object, as reported by a watch.
 *
 * @param object the object after the change; after a deletion, its last content with the
 * version of the deletion
 * @param gone whether the object was deleted
 */
public record WatchEvent(Stored object, boolean gone) {

	/**
	 * Rejects a null object.
	 */
	public WatchEvent {
		Objects.requireNonNull(object, "object is null");
	}

}
