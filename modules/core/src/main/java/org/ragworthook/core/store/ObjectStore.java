package org.ragworthook.core.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The platform's object API with listings and watches. The platform counts every call; an
 * open watch counts as one call.
 */
public interface ObjectStore extends RecordStore {

	/**
	 * Lists objects.
	 * @param kind the collection to list
	 * @param selector the labels that the objects must carry
	 * @return the matching objects, sorted by name
	 */
	CompletableFuture<Listing> list(Kind kind, Labels selector);

	/**
	 * Watches a collection for changes. Events are delivered at least once each, in order
	 * of version, until the watch ends. After the end, the caller has to list the
	 * collection again before it starts a new watch.
	 * @param kind the collection to watch
	 * @param selector the labels that the objects must carry
	 * @param after the version of the listing after which events are delivered
	 * @param events called with each change
	 * @param ended called once when the watch has ended, by an error or otherwise
	 * @return a handle that ends the watch
	 */
	Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended);

	/**
	 * A handle of an open watch.
	 */
	interface Watch extends AutoCloseable {

		@Override
		void close();

	}

}
