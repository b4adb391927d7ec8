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
 * Puts texts together from snapshots and deltas.
 * <p>
 * At 13,000 changes a day a text near 1 MB cannot travel whole to each of 320 entries, so
 * what they watch bears a delta only. A delta applied to the wrong text would put a text
 * in force that nobody accepted; therefore each result is compared with the digest of its
 * head, and one that differs is put together anew from the snapshot.
 */
final class RevisionStore {

	/** The most deltas that lie between a text and its snapshot. */
	static final int LONGEST_CHAIN = 32;

	/** A delta of more characters than this makes a snapshot instead. */
	static final int LARGEST_DELTA = 16 * 1024;

	static final Labels HISTORY_LABELS = Labels.of("part", "history");

	static final Labels SNAPSHOT_LABELS = Labels.of("part", "snapshot");

	private static final int DIGEST_DIGITS = 16;

	private final ObjectStore store;

	private final AtomicReference<Optional<Known>> newest = new AtomicReference<>(Optional.empty());

	private RevisionStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	static RevisionStore of(ObjectStore store) {
		return new RevisionStore(store);
	}

	static ObjectKey changeKey(long version) {
		return ObjectKey.of(Kind.CONFIG, String.format("change-%012d", version));
	}

	/**
	 * Returns the name of a snapshot. It bears the digest: of two operators who race for
	 * one version each writes a snapshot, and neither may find the other's under his own
	 * name.
	 * @param version the version
	 * @param digest the digest of its text
	 * @return the name of the object
	 */
	static String snapshotName(long version, String digest) {
		return String.format("snapshot-%012d-%s", version, digest.substring(0, DIGEST_DIGITS));
	}

	/**
	 * Puts a revision together. What was put together last is the base where it can be,
	 * so that an entry which follows every change reads nothing.
	 * @param head the revision without its text
	 * @return the revision; fails with {@code CONFIG_MALFORMED} if a part is missing or
	 * does not fit, and with a store's error if it cannot be read
	 */
	CompletableFuture<Revision> restore(RevisionHead head) {
		Optional<Known> base = this.newest.get().filter((known) -> known.precedes(head));
		CompletableFuture<Revision> restored = base
			.map((known) -> fold(known, head).handle((revision, failure) -> revision)
				.thenCompose((revision) -> (revision != null) ? CompletableFuture.completedFuture(revision)
						: fromSnapshot(head)))
			.orElseGet(() -> fromSnapshot(head));
		return restored.thenApply((revision) -> remember(revision, head));
	}

	private Revision remember(Revision revision, RevisionHead head) {
		Known fresh = new Known(revision.version(), head.digest(), revision.text());
		this.newest.updateAndGet(
				(present) -> present.filter((known) -> known.version() > fresh.version()).or(() -> Optional.of(fresh)));
		return revision;
	}

	private CompletableFuture<Revision> fromSnapshot(RevisionHead head) {
		ObjectKey key = ObjectKey.of(Kind.CONFIG, head.snapshot());
		return this.store.read(key)
			.thenApply((found) -> present(found, key))
			.thenCompose(
					(stored) -> fold(new Known(head.snapshotVersion(), "", RevisionCodec.text(stored.text())), head));
	}

	private CompletableFuture<Revision> fold(Known base, RevisionHead head) {
		CompletableFuture<String> text = CompletableFuture.completedFuture(base.text());
		for (long version = base.version() + 1; version < head.version(); version++) {
			ObjectKey key = changeKey(version);
			text = text.thenCombine(this.store.read(key),
					(before, found) -> apply(RevisionCodec.parseHead(present(found, key).text()), before));
		}
		return text.thenApply((before) -> (base.version() < head.version()) ? apply(head, before) : before)
			.thenApply((after) -> checked(head, after));
	}

	private static String apply(RevisionHead head, String before) {
		try {
			return head.delta().map((delta) -> delta.apply(before)).orElse(before);
		}
		catch (IllegalArgumentException ex) {
			throw new CompletionException(new ConfigException(ErrorCode.CONFIG_MALFORMED,
					"the delta of " + head.title() + " does not fit", ex));
		}
	}

	private static Revision checked(RevisionHead head, String text) {
		if (!RevisionHead.digest(text).equals(head.digest())) {
			throw new CompletionException(new ConfigException(ErrorCode.CONFIG_MALFORMED,
					"the text of " + head.title() + " does not have its digest"));
		}
		return head.with(text);
	}

	private static Stored present(Optional<Stored> found, ObjectKey key) {
		return found.orElseThrow(() -> new CompletionException(
				new ConfigException(ErrorCode.CONFIG_MALFORMED, "object " + key + " is missing")));
	}

	private record Known(long version, String digest, String text) {

		boolean precedes(RevisionHead head) {
			boolean same = this.version == head.version() && this.digest.equals(head.digest());
			return same || this.version >= head.snapshotVersion() && this.version < head.version();
		}

	}

}
