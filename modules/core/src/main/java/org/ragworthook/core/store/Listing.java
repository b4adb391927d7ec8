package org.ragworthook.core.store;

import java.util.List;

/**
 * Objects as they were at one moment.
 *
 * @param objects the objects selected, by name
 * @param version the version of the collection, from which a watch goes on without a gap
 */
public record Listing(List<Stored> objects, long version) {

	/**
	 * Copies the list.
	 */
	public Listing {
		objects = List.copyOf(objects);
	}

}
