package org.ragworthook.gateway.feed;

import java.util.List;

/**
 * The content of a collection, or the changes in it since a version.
 *
 * @param <T> the type of the entries
 * @param changes the current state of the entries concerned, oldest change first
 * @param version the version after which later changes follow
 */
public record Changes<T>(List<Change<T>> changes, long version) {

	/**
	 * Copies the list.
	 */
	public Changes {
		changes = List.copyOf(changes);
	}

	/**
	 * Returns the version of the newest of these changes.
	 * @return the version, 0 if there are no changes
	 */
	long newestChange() {
		return this.changes.stream().mapToLong(Change::version).max().orElse(0);
	}

}
