package org.ragworthook.core.job;

import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;

/**
 * Deletes chunks and other objects from the object store, one after another.
 */
final class ChunkDeletion {

	private static final int MAX_MISSING = 4;

	private ChunkDeletion() {
	}

	/**
	 * Deletes the chunks of an upload whose number of chunks is known.
	 * @param store the object store
	 * @param input the common name prefix of the chunks
	 * @param count the number of chunks
	 * @return completes when all chunks are deleted
	 */
	static CompletableFuture<Void> delete(ObjectStore store, String input, int count) {
		CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
		for (int chunk = 0; chunk < count; chunk++) {
			ObjectKey key = FileRecord.chunkKey(input, chunk);
			done = done.thenCompose((before) -> delete(store, key)).thenApply((present) -> null);
		}
		return done;
	}

	/**
	 * Deletes the chunks of an upload whose number of chunks is unknown. Stops after a
	 * few consecutive missing chunks: an upload has only a few chunk writes in flight, so
	 * gaps below its last chunk are short.
	 * @param store the object store
	 * @param input the common name prefix of the chunks
	 * @return completes when all chunks are deleted
	 */
	static CompletableFuture<Void> deleteAll(ObjectStore store, String input) {
		return deleteFrom(store, input, 0, 0);
	}

	private static CompletableFuture<Void> deleteFrom(ObjectStore store, String input, int chunk, int missing) {
		if (missing >= MAX_MISSING) {
			return CompletableFuture.completedFuture(null);
		}
		return delete(store, FileRecord.chunkKey(input, chunk))
			.thenCompose((present) -> deleteFrom(store, input, chunk + 1, present ? 0 : missing + 1));
	}

	/**
	 * Deletes an object, whatever its version.
	 * @param store the object store
	 * @param key the key of the object
	 * @return whether the object existed
	 */
	static CompletableFuture<Boolean> delete(ObjectStore store, ObjectKey key) {
		return store.read(key)
			.thenCompose((found) -> found.map((stored) -> store.delete(key, stored.version()).thenApply((gone) -> true))
				.orElseGet(() -> CompletableFuture.completedFuture(false)));
	}

}
