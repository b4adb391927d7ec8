package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;

import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * Restores the texts of revisions from snapshots and deltas.
 * <p>
 * At 13,000 changes a day, a contract of nearly 1 MB cannot be sent in full to each of
 * 320 entries, so the watched header carries only a delta. A delta applied to the wrong
 * base would produce a contract that nobody accepted. Each restored text is therefore
 * verified against the digest in its header; on a mismatch it is restored again from the
 * snapshot.
 */
final class RevisionReader {

	/** Maximum number of deltas between a revision and its snapshot. */
	static final int MAX_CHAIN_LENGTH = 32;

	/** A change that inserts more characters than this is stored as a snapshot. */
	static final int MAX_DELTA_CHARS = 16 * 1024;

	static final Labels HISTORY_LABELS = Labels.of("part", "history");

	static final Labels SNAPSHOT_LABELS = Labels.of("part", "snapshot");

	private static final int SNAPSHOT_DIGEST_DIGITS = 16;

	private final ObjectStore store;

	private final AtomicReference<Optional<RestoredText>> newest = new AtomicReference<>(Optional.empty());

	private RevisionReader(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	static RevisionReader of(ObjectStore store) {
		return new RevisionReader(store);
	}

	static ObjectKey changeKey(long version) {
		return ObjectKey.of(Kind.CONFIG, String.format("change-%012d", version));
	}

	/**
	 * Returns the object name of a snapshot. It includes the digest, because two
	 * operators who race for the same version each write a snapshot and must not write to
	 * the same object.
	 * @param version the version of the revision
	 * @param digest the digest of the text
	 * @return the object name
	 */
	static String snapshotName(long version, String digest) {
		return String.format("snapshot-%012d-%s", version, digest.substring(0, SNAPSHOT_DIGEST_DIGITS));
	}

	/**
	 * Restores the text of a revision. Starts from the most recently restored text if
	 * possible, so that an entry that follows every change reads nothing from the store.
	 * @param header the header of the revision
	 * @return the revision; fails with {@code CONFIG_MALFORMED} if a part is missing or
	 * inconsistent, and with a store exception if a read fails
	 */
	CompletableFuture<Revision> restore(RevisionHeader header) {
		Optional<RestoredText> base = this.newest.get().filter((restored) -> restored.isBaseOf(header));
		CompletableFuture<Revision> result = base
			.map((restored) -> applyDeltas(restored, header).handle((revision, failure) -> revision)
				.thenCompose((revision) -> (revision != null) ? CompletableFuture.completedFuture(revision)
						: fromSnapshot(header)))
			.orElseGet(() -> fromSnapshot(header));
		return result.thenApply((revision) -> cache(revision, header));
	}

	private Revision cache(Revision revision, RevisionHeader header) {
		RestoredText latest = new RestoredText(revision.version(), header.digest(), revision.text());
		this.newest.updateAndGet((cached) -> cached.filter((restored) -> restored.version() > latest.version())
			.or(() -> Optional.of(latest)));
		return revision;
	}

	private CompletableFuture<Revision> fromSnapshot(RevisionHeader header) {
		ObjectKey key = ObjectKey.of(Kind.CONFIG, header.snapshot());
		return this.store.read(key)
			.thenApply((found) -> require(found, key))
			.thenCompose((stored) -> applyDeltas(
					new RestoredText(header.snapshotVersion(), "", RevisionCodec.text(stored.text())), header));
	}

	private CompletableFuture<Revision> applyDeltas(RestoredText base, RevisionHeader header) {
		CompletableFuture<String> text = CompletableFuture.completedFuture(base.text());
		for (long version = base.version() + 1; version < header.version(); version++) {
			ObjectKey key = changeKey(version);
			text = text.thenCombine(this.store.read(key),
					(before, found) -> applyDelta(RevisionCodec.parseHeader(require(found, key).text()), before));
		}
		return text.thenApply((before) -> (base.version() < header.version()) ? applyDelta(header, before) : before)
			.thenApply((after) -> verifyDigest(header, after));
	}

	private static String applyDelta(RevisionHeader header, String before) {
		try {
			return header.delta().map((delta) -> delta.apply(before)).orElse(before);
		}
		catch (IllegalArgumentException ex) {
			throw new CompletionException(new ConfigException(ErrorCode.CONFIG_MALFORMED,
					"the delta of " + header.title() + " does not fit", ex));
		}
	}

	private static Revision verifyDigest(RevisionHeader header, String text) {
		if (!RevisionHeader.digest(text).equals(header.digest())) {
			throw new CompletionException(new ConfigException(ErrorCode.CONFIG_MALFORMED,
					"the text of " + header.title() + " does not have its digest"));
		}
		return header.toRevision(text);
	}

	private static Stored require(Optional<Stored> found, ObjectKey key) {
		return found.orElseThrow(() -> new CompletionException(
				new ConfigException(ErrorCode.CONFIG_MALFORMED, "object " + key + " is missing")));
	}

	private record RestoredText(long version, String digest, String text) {

		boolean isBaseOf(RevisionHeader header) {
			boolean same = this.version == header.version() && this.digest.equals(header.digest());
			return same || this.version >= header.snapshotVersion() && this.version < header.version();
		}

	}

}
