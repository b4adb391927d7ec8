package org.ragworthook.core.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The platform's object API. Every call is counted by the platform, a waiting watch as
 * one.
 * <p>
 * Futures fail with a {@link org.ragworthook.core.error.StoreException} whose code tells
 * what is known of the effect: {@code STORE_CONFLICT}, {@code STORE_TOO_LARGE},
 * {@code STORE_RATE_LIMITED} and {@code STORE_UNAVAILABLE} had none;
 * {@code STORE_OUTCOME_UNKNOWN} may have had it. Callers that write go through
 * {@link ConditionalWriter}, which settles the unknown outcomes.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key which object
	 * @return the newest version, or empty if there is no such object
	 */
	CompletableFuture<Optional<Stored>> read(ObjectKey key);

	/**
	 * Creates an object, if there is none of that name.
	 * @param key which object
	 * @param draft its content
	 * @return the object; fails with {@code STORE_CONFLICT} if it exists
	 */
	CompletableFuture<Stored> create(ObjectKey key, Draft draft);

	/**
	 * Replaces an object, if it still has the expected version.
	 * @param key which object
	 * @param draft its new content
	 * @param expected the version that it must have
	 * @return the object; fails with {@code STORE_CONFLICT} if it has another version or
	 * is gone
	 */
	CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected);

	/**
	 * Removes an object, if it still has the expected version.
	 * @param key which object
	 * @param expected the version that it must have
	 * @return whether there was such an object; fails with {@code STORE_CONFLICT} if it
	 * has another version
	 */
	CompletableFuture<Boolean> delete(ObjectKey key, long expected);

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
