package org.ragworthook.core.store;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.StoreException;

/**
 * Writes to the platform and settles lost answers.
 * <p>
 * The platform can take a write and lose the answer. Tried again blindly, a create would
 * then meet its own object and report a conflict, and an update would report that
 * somebody else came first. One would notice a job refused that was accepted, or a leader
 * that deposes itself. So after an unknown outcome the object is read back and its stamp
 * compared: with this write's stamp the write has succeeded, otherwise it is repeated
 * with the same stamp and the same expected version. The first try may still be on its
 * way; whichever of the two arrives first takes effect, the other meets a conflict, and
 * the stamp tells that both are the same write.
 * <p>
 * The outcome stays unknown, and the caller is told so, while the object cannot be read,
 * and also if a doubtful write meets a conflict with another writer's stamp: that writer
 * may have read this write's object and replaced it. Reported as a conflict, an operator
 * would be told that a text was not accepted which was in force for a while. The caller
 * then reads the object and decides from what it says.
 */
public final class ConditionalWriter {

	private static final int ATTEMPTS = 3;

	private final RecordStore store;

	private final Stamps stamps;

	private ConditionalWriter(RecordStore store, Stamps stamps) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.stamps = Objects.requireNonNull(stamps, "stamps is null");
	}

	/**
	 * Returns a writer.
	 * @param store where to write
	 * @param stamps marks each write
	 * @return the writer
	 */
	public static ConditionalWriter of(RecordStore store, Stamps stamps) {
		return new ConditionalWriter(store, stamps);
	}

	/**
	 * Creates an object, if there is none of that name.
	 * @param key which object
	 * @param text its value
	 * @param labels its labels
	 * @return the object; fails with {@code STORE_CONFLICT} if another write made it
	 * first, and with {@code STORE_OUTCOME_UNKNOWN} if reading back does not settle it
	 */
	public CompletableFuture<Stored> create(ObjectKey key, String text, Labels labels) {
		Draft draft = new Draft(text, labels, this.stamps.next());
		return attempt(() -> this.store.create(key, draft), key, draft, ATTEMPTS, false);
	}

	/**
	 * Replaces an object, if it still has the version that was read.
	 * @param seen the object as it was read
	 * @param text its new value
	 * @return the object; fails with {@code STORE_CONFLICT} if another write came first,
	 * and with {@code STORE_OUTCOME_UNKNOWN} if reading back does not settle it
	 */
	public CompletableFuture<Stored> update(Stored seen, String text) {
		return update(seen, text, seen.draft().labels());
	}

	/**
	 * Replaces an object and its labels, if it still has the version that was read.
	 * @param seen the object as it was read
	 * @param text its new value
	 * @param labels its new labels
	 * @return the object; fails with {@code STORE_CONFLICT} if another write came first,
	 * and with {@code STORE_OUTCOME_UNKNOWN} only if it cannot be read back
	 */
	public CompletableFuture<Stored> update(Stored seen, String text, Labels labels) {
		Draft draft = new Draft(text, labels, this.stamps.next());
		return attempt(() -> this.store.update(seen.key(), draft, seen.version()), seen.key(), draft, ATTEMPTS, false);
	}

	private CompletableFuture<Stored> attempt(Supplier<CompletableFuture<Stored>> write, ObjectKey key, Draft draft,
			int attempts, boolean doubtful) {
		return write.get().handle((stored, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(stored);
			}
			Optional<ErrorCode> code = codeOf(failure);
			if (is(code, ErrorCode.STORE_OUTCOME_UNKNOWN)) {
				return settle(write, key, draft, attempts, failure);
			}
			if (doubtful && is(code, ErrorCode.STORE_CONFLICT)) {
				return readBack(key, draft).thenApply((found) -> found.orElseThrow(() -> unknown(key, failure)));
			}
			return doubtful ? CompletableFuture.<Stored>failedFuture(unknown(key, failure))
					: CompletableFuture.<Stored>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	private CompletableFuture<Stored> settle(Supplier<CompletableFuture<Stored>> write, ObjectKey key, Draft draft,
			int attempts, Throwable failure) {
		return readBack(key, draft).thenCompose((found) -> {
			if (found.isPresent()) {
				return CompletableFuture.completedFuture(found.get());
			}
			if (attempts <= 1) {
				return CompletableFuture.<Stored>failedFuture(unknown(key, failure));
			}
			return attempt(write, key, draft, attempts - 1, true);
		});
	}

	private CompletableFuture<Optional<Stored>> readBack(ObjectKey key, Draft draft) {
		return this.store.read(key).handle((found, failure) -> {
			if (failure != null) {
				throw unknown(key, failure);
			}
			return found.filter((stored) -> stored.draft().stamp().equals(draft.stamp()));
		});
	}

	private static boolean is(Optional<ErrorCode> code, ErrorCode wanted) {
		return code.filter((present) -> present == wanted).isPresent();
	}

	private static StoreException unknown(ObjectKey key, Throwable failure) {
		return new StoreException(ErrorCode.STORE_OUTCOME_UNKNOWN,
				"write to " + key + " was not confirmed and could not be settled by reading back", failure);
	}

	/**
	 * Returns the code of a failed call.
	 * @param failure what a future of the store failed with
	 * @return the code, or empty if it is no error of the store
	 */
	public static Optional<ErrorCode> codeOf(Throwable failure) {
		Throwable cause = Failures.root(failure);
		return (cause instanceof StoreException store) ? Optional.of(store.code()) : Optional.empty();
	}

}
