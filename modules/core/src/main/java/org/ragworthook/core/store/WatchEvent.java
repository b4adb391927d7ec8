package org.ragworthook.core.store;

import java.util.Objects;

/**
 * A change of an object that a watch reports.
 *
 * @param object the object after the change, or as it last was if it is gone
 * @param gone whether the object was removed
 */
public record WatchEvent(Stored object, boolean gone) {

	/**
	 * Checks that all parts are there.
	 */
	public WatchEvent {
		Objects.requireNonNull(object, "object is null");
	}

}
