package org.ragworthook.core.store;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The platform's object API with its listings and watches. Every call is counted by the
 * platform, a waiting watch as one.
 */
public interface ObjectStore extends RecordStore {

	/**
	 * Lists objects.
	 * @param kind the collection
	 * @param selector the labels they must carry
	 * @return the objects, by name
	 */
	CompletableFuture<Listing> list(Kind kind, Labels selector);

	/**
	 * Watches a collection. Events come in order of version, at least once each, until
	 * the watch ends; a watch that has ended is to be followed by a new listing.
	 * @param kind the collection
	 * @param selector the labels that objects must carry
	 * @param after the version of the listing from which to go on
	 * @param events takes each change
	 * @param ended is told once that the watch has ended, by an error or otherwise
	 * @return a handle that ends the watch
	 */
	Watch watch(Kind kind, Labels selector, long after, Consumer<WatchEvent> events, Runnable ended);

	/**
	 * A watch that goes on.
	 */
	interface Watch extends AutoCloseable {

		@Override
		void close();

	}

}
