package org.ragworthook.gateway.feed;

import java.util.List;

/**
 * Receives the content of a collection and its changes. Called on the event loop.
 *
 * @param <T> the type of the entries
 */
public interface FeedListener<T> {

	/**
	 * Called with the whole collection.
	 * @param all all entries; any entry that is not among them was removed
	 */
	void listed(List<Change<T>> all);

	/**
	 * Called with a change.
	 * @param change the change
	 */
	void changed(Change<T> change);

}
