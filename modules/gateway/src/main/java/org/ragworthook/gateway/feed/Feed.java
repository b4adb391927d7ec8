package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A collection on the platform that can be listed and watched.
 *
 * @param <T> the type of the entries
 */
public interface Feed<T> {

	/**
	 * Returns the collection's name, for the log.
	 * @return the name
	 */
	String name();

	/**
	 * Lists the collection.
	 * @return all entries
	 */
	CompletableFuture<Changes<T>> list();

	/**
	 * Waits for changes after a version (long poll). The call ends if the future is
	 * cancelled.
	 * @param after the version after which changes are wanted
	 * @param maxWait how long to wait for the first change
	 * @return the changes, none if the wait has ended without one, or empty if the
	 * platform no longer has the history after that version
	 */
	CompletableFuture<Optional<Changes<T>>> changes(long after, Duration maxWait);

}
