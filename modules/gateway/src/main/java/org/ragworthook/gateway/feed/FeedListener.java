package org.ragworthook.gateway.feed;

import java.util.List;

/**
 * Takes what a collection holds. Called on the event loop.
 *
 * @param <T> what it holds
 */
public interface FeedListener<T> {

	/**
	 * Takes the whole collection.
	 * @param all what it holds; whatever is not in it is gone
	 */
	void listed(List<Change<T>> all);

	/**
	 * Takes a change.
	 * @param change the change
	 */
	void changed(Change<T> change);

}
