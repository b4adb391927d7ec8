package org.ragworthook.core.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Objects at the platform, read and written one at a time.
 * <p>
 * Futures fail with a {@link org.ragworthook.core.error.StoreException} whose code tells
 * what is known of the effect: {@code STORE_CONFLICT}, {@code STORE_TOO_LARGE},
 * {@code STORE_RATE_LIMITED} and {@code STORE_UNAVAILABLE} had none;
 * {@code STORE_OUTCOME_UNKNOWN} may have had it. Callers that write go through
 * {@link ConditionalWriter}, which settles the unknown outcomes.
 */
public interface RecordStore {

	/**
	 * Reads an object.
	 * @param key which object
	 * @return the newest version, or empty if there is no such object
	 */
	CompletableFuture<Optional<Stored>> read(ObjectKey key);

	/**
	 * Reads an object of which an older version will do. A platform may answer this from
	 * a copy, at less cost than {@link #read}; a missing object says nothing then.
	 * @param key which object
	 * @return some version of it, or empty if the copy has none
	 */
	default CompletableFuture<Optional<Stored>> readCopy(ObjectKey key) {
		return read(key);
	}

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

}
