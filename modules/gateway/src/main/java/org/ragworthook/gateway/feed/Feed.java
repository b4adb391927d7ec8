package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A collection at the platform.
 *
 * @param <T> what it holds
 */
public interface Feed<T> {

	/**
	 * Returns the collection's name, for the log.
	 * @return the name
	 */
	String name();

	/**
	 * Lists the collection.
	 * @return all it holds
	 */
	CompletableFuture<Changes<T>> list();

	/**
	 * Waits for changes.
	 * @param after the version after which to look
	 * @param wait how long to wait for the first change
	 * @return the changes, none if the wait was in vain, or empty if the platform does
	 * not know what came after that version
	 */
	CompletableFuture<Optional<Changes<T>>> changes(long after, Duration wait);

}
