package org.ragworthook.core.store;

import java.util.List;

/**
 * A consistent snapshot of the objects that a selector matches.
 *
 * @param objects the matching objects, sorted by name
 * @param version the version of the snapshot; a watch that starts after this version
 * misses no change
 */
public record Listing(List<Stored> objects, long version) {

	/**
	 * Copies the list.
	 */
	public Listing {
		objects = List.copyOf(objects);
	}

}
