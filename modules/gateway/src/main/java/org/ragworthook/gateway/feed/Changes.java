package org.ragworthook.gateway.feed;

import java.util.List;

/**
 * What a collection holds, or what has changed in it.
 *
 * @param <T> what the collection holds
 * @param changes the things concerned, oldest change first
 * @param version the version from which later changes follow
 */
public record Changes<T>(List<Change<T>> changes, long version) {

	/**
	 * Copies the list.
	 */
	public Changes {
		changes = List.copyOf(changes);
	}

}
