package org.ragworthook.core.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes single objects at the platform.
 * <p>
 * Futures fail with a {@link org.ragworthook.core.error.StoreException}. After
 * {@code STORE_CONFLICT}, {@code STORE_TOO_LARGE}, {@code STORE_RATE_LIMITED} and
 * {@code STORE_UNAVAILABLE} the call had no effect; after {@code STORE_OUTCOME_UNKNOWN}
 * it may have taken effect. Components should write through {@link ConditionalWriter},
 * which resolves unknown outcomes.
 */
public interface RecordStore {

	/**
	 * Returns the platform's limit on the size of an object.
	 * @return the limit in bytes, counted as the platform stores the object, with its
	 * metadata
	 */
	default long maxObjectBytes() {
		return Draft.MAX_BYTES;
	}

	/**
	 * Reads an object.
	 * @param key the object's key
	 * @return the newest version, or empty if the object does not exist
	 */
	CompletableFuture<Optional<Stored>> read(ObjectKey key);

	/**
	 * Reads a possibly stale version of an object. A platform may serve this from a
	 * cached copy at less cost than {@link #read}; an empty result then does not mean
	 * that the object does not exist.
	 * @param key the object's key
	 * @return some version of the object, or empty if the cached copy has none
	 */
	default CompletableFuture<Optional<Stored>> readCopy(ObjectKey key) {
		return read(key);
	}

	/**
	 * Reads an object that never changes, or of which an older version is good enough:
	 * from the copy if that has it.
	 * @param key the object's key
	 * @return some version of the object, or empty if the object does not exist
	 */
	default CompletableFuture<Optional<Stored>> readPossiblyStale(ObjectKey key) {
		return readCopy(key)
			.thenCompose((copy) -> copy.isPresent() ? CompletableFuture.completedFuture(copy) : read(key));
	}

	/**
	 * Creates an object if none with the same key exists.
	 * @param key the object's key
	 * @param draft the object's content
	 * @return the created object; fails with {@code STORE_CONFLICT} if the object exists
	 */
	CompletableFuture<Stored> create(ObjectKey key, Draft draft);

	/**
	 * Replaces an object if the object still has the expected version.
	 * @param key the object's key
	 * @param draft the object's new content
	 * @param expected the version that the object must have
	 * @return the updated object; fails with {@code STORE_CONFLICT} if the object has
	 * another version or does not exist
	 */
	CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected);

	/**
	 * Deletes an object if the object still has the expected version.
	 * @param key the object's key
	 * @param expected the version that the object must have
	 * @return whether the object existed; fails with {@code STORE_CONFLICT} if the object
	 * has another version
	 */
	CompletableFuture<Boolean> delete(ObjectKey key, long expected);

}
