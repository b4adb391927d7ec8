package org.ragworthook.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.store.Stored;

/**
 * Stores documents that never change, also those that exceed an object.
 * <p>
 * The text of such a document is stored in pieces before the document itself, which then
 * only lists them. A piece is named by a digest of its text and the document's key: a
 * repeated write of it has no effect, and different documents that several processes
 * write under one key cannot be mixed. A version that does not know of pieces rejects the
 * list as malformed.
 */
final class LargeDocuments {

	/** No name of a job's object begins with this. */
	private static final String PIECE_PREFIX = "p";

	private final RecordStore store;

	private final ConditionalWriter writer;

	private final ObjectSizeLimit limit;

	LargeDocuments(RecordStore store, ConditionalWriter writer, ObjectSizeLimit limit) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.limit = Objects.requireNonNull(limit, "limit is null");
	}

	// -- writing

	/**
	 * Creates a document if there is none, in pieces if it exceeds an object.
	 * @param key the key of the document
	 * @param document its text
	 * @return whether it was created; otherwise there is a document with this key
	 */
	CompletableFuture<Boolean> create(ObjectKey key, String document) {
		if (!fits(document)) {
			return createInPieces(key, document);
		}
		return createObject(key, document).handle((created, failure) -> {
			if (failure != null && ObjectSizeLimit.isTooLarge(failure) && !fits(document)) {
				return createInPieces(key, document);
			}
			return settled(created, failure);
		}).thenCompose((result) -> result);
	}

	/**
	 * Returns whether a document fits into one object.
	 * @param document the text of the document
	 * @return whether it does not exceed the limit as it is now
	 */
	boolean fits(String document) {
		return JsonSize.max(document) <= this.limit.bytes();
	}

	/**
	 * Creates an object if there is none, even if it exceeds the limit.
	 * @param key the key of the object
	 * @param text its text
	 * @return whether it was created; otherwise there is an object with this key
	 */
	CompletableFuture<Boolean> createObject(ObjectKey key, String text) {
		return this.writer.create(key, text, Labels.empty()).handle((stored, failure) -> {
			if (failure == null) {
				return true;
			}
			if (isConflict(failure)) {
				return false;
			}
			this.limit.writeFailed(text, failure);
			throw new CompletionException(Failures.root(failure));
		});
	}

	private static boolean isConflict(Throwable failure) {
		return ConditionalWriter.codeOf(failure).filter((code) -> code == ErrorCode.STORE_CONFLICT).isPresent();
	}

	private CompletableFuture<Boolean> createInPieces(ObjectKey key, String document) {
		long maxBytes = this.limit.bytes();
		List<String> pieces = split(document, maxBytes);
		CompletableFuture<?>[] written = pieces.stream()
			.map((piece) -> createObject(pieceKey(key, digest(key, piece)), piece))
			.toArray(CompletableFuture[]::new);
		return CompletableFuture.allOf(written).handle((done, failure) -> {
			if (failure == null) {
				return createObject(key,
						JobDocuments.writePieces(pieces.stream().map((piece) -> digest(key, piece)).toList()));
			}
			boolean lowered = ObjectSizeLimit.isTooLarge(failure) && this.limit.bytes() < maxBytes;
			return lowered ? createInPieces(key, document) : settled(false, failure);
		}).thenCompose((result) -> result);
	}

	private static CompletableFuture<Boolean> settled(Boolean created, Throwable failure) {
		return (failure != null) ? CompletableFuture.failedFuture(Failures.root(failure))
				: CompletableFuture.completedFuture(created);
	}

	/**
	 * Splits a text. No surrogate pair is split, since neither half can be encoded.
	 * @param text the text
	 * @param maxBytes the maximum size of a piece as a JSON string
	 * @return the pieces in order
	 */
	static List<String> split(String text, long maxBytes) {
		List<String> pieces = new ArrayList<>();
		int start = 0;
		long bytes = 0;
		int end;
		for (int at = 0; at < text.length(); at = end) {
			end = at + Character.charCount(text.codePointAt(at));
			long more = 0;
			for (int i = at; i < end; i++) {
				more += JsonSize.max(text.charAt(i));
			}
			if (at > start && bytes + more > maxBytes) {
				pieces.add(text.substring(start, at));
				start = at;
				bytes = 0;
			}
			bytes += more;
		}
		pieces.add(text.substring(start));
		return pieces;
	}

	private static ObjectKey pieceKey(ObjectKey document, String digest) {
		return ObjectKey.of(document.kind(), PIECE_PREFIX + digest);
	}

	private static String digest(ObjectKey document, String piece) {
		return Digests.of(document.name() + "\n" + piece);
	}

	// -- reading

	/**
	 * Reads a document.
	 * @param key the key of the document
	 * @return its text, or empty if there is no such document; fails if the store does
	 * not return all of it
	 */
	CompletableFuture<Optional<String>> read(ObjectKey key) {
		return this.store.read(key).thenCompose(this::text);
	}

	/**
	 * Reads a document that has probably existed for a while, so that a copy of the store
	 * has it.
	 * @param key the key of the document
	 * @return its text, or empty if there is no such document; fails if the store does
	 * not return all of it
	 */
	CompletableFuture<Optional<String>> readPossiblyStale(ObjectKey key) {
		return this.store.readPossiblyStale(key).thenCompose(this::text);
	}

	private CompletableFuture<Optional<String>> text(Optional<Stored> found) {
		Optional<List<String>> pieces = found.flatMap((stored) -> JobDocuments.readPieces(stored.text()));
		return pieces.map((digests) -> joined(found.orElseThrow().key(), digests).thenApply(Optional::of))
			.orElseGet(() -> CompletableFuture.completedFuture(found.map(Stored::text)));
	}

	private CompletableFuture<String> joined(ObjectKey document, List<String> digests) {
		List<CompletableFuture<String>> pieces = digests.stream().map((digest) -> piece(document, digest)).toList();
		return CompletableFuture.allOf(pieces.toArray(CompletableFuture[]::new))
			.thenApply((done) -> String.join("", pieces.stream().map(CompletableFuture::join).toList()));
	}

	private CompletableFuture<String> piece(ObjectKey document, String digest) {
		ObjectKey key = pieceKey(document, digest);
		return this.store.readPossiblyStale(key)
			.thenApply((found) -> found.map(Stored::text)
				.filter((text) -> digest(document, text).equals(digest))
				.orElseThrow(() -> new StoreException(ErrorCode.STORE_UNAVAILABLE,
						"the store did not return piece " + key + " as it was written")));
	}

}
