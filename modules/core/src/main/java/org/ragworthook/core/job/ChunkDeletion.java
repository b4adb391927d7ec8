package org.ragworthook.core.job;

import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;

/**
 * Removes numbered objects one after another.
 */
final class ChunkDeletion {

	private static final int GAP = 4;

	private ChunkDeletion() {
	}

	/**
	 * Removes the chunks of an upload.
	 * @param store where they are
	 * @param input the common part of their names
	 * @param count how many there are
	 * @return completes when they are gone
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
	 * Removes the chunks of an upload of which nobody knows how far it came.
	 * ChunkDeletion are stored a few at a time, so that only a few numbers in a row can
	 * be missing before the last.
	 * @param store where they are
	 * @param input the common part of their names
	 * @return completes when they are gone
	 */
	static CompletableFuture<Void> deleteAll(ObjectStore store, String input) {
		return deleteFrom(store, input, 0, 0);
	}

	private static CompletableFuture<Void> deleteFrom(ObjectStore store, String input, int chunk, int missing) {
		if (missing >= GAP) {
			return CompletableFuture.completedFuture(null);
		}
		return delete(store, FileRecord.chunkKey(input, chunk))
			.thenCompose((present) -> deleteFrom(store, input, chunk + 1, present ? 0 : missing + 1));
	}

	/**
	 * Removes an object, whatever its version.
	 * @param store where it is
	 * @param key which object
	 * @return whether it was there
	 */
	static CompletableFuture<Boolean> delete(ObjectStore store, ObjectKey key) {
		return store.read(key)
			.thenCompose((found) -> found.map((stored) -> store.delete(key, stored.version()).thenApply((gone) -> true))
				.orElseGet(() -> CompletableFuture.completedFuture(false)));
	}

}
