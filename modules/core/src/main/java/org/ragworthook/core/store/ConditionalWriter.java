package org.ragworthook.core.store;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.StoreException;

/**
 * Performs conditional writes and resolves those whose response was lost.
 * <p>
 * The platform can apply a write and lose the response. A blind retry would then conflict
 * with the write's own first attempt: a job that was accepted would be reported as
 * rejected, or a leader that renewed its lease would step down. So after an unknown
 * outcome the object is read back. If it carries this write's stamp, the write has
 * succeeded; otherwise the write is retried with the same stamp and the same expected
 * version. The first attempt may still be in transit: whichever attempt arrives first
 * takes effect, the other one conflicts, and the equal stamp shows that both are the same
 * write.
 * <p>
 * The write fails with {@code STORE_OUTCOME_UNKNOWN} if the object cannot be read back or
 * the retries fail, and also if a retry conflicts with another writer's stamp, since that
 * writer may have read this write's object and replaced it. If that were reported as a
 * conflict, an operator would be told that a configuration was rejected although it had
 * been active for a while. After an unknown outcome the caller has to read the object and
 * decide by its content.
 */
public final class ConditionalWriter {

	private static final int MAX_ATTEMPTS = 3;

	private final RecordStore store;

	private final Stamps stamps;

	private ConditionalWriter(RecordStore store, Stamps stamps) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.stamps = Objects.requireNonNull(stamps, "stamps is null");
	}

	/**
	 * Returns a writer.
	 * @param store the store to write to
	 * @param stamps generates the stamp of each write
	 * @return the writer
	 */
	public static ConditionalWriter of(RecordStore store, Stamps stamps) {
		return new ConditionalWriter(store, stamps);
	}

	/**
	 * Creates an object if none with the same key exists.
	 * @param key the object's key
	 * @param text the object's value
	 * @param labels the object's labels
	 * @return the created object; fails with {@code STORE_CONFLICT} if the object exists
	 * already, and with {@code STORE_OUTCOME_UNKNOWN} if reading the object back does not
	 * resolve the outcome
	 */
	public CompletableFuture<Stored> create(ObjectKey key, String text, Labels labels) {
		Draft draft = new Draft(text, labels, this.stamps.next());
		return attempt(() -> this.store.create(key, draft), key, draft, MAX_ATTEMPTS, false);
	}

	/**
	 * Replaces an object's value if the object still has the version that was read.
	 * @param current the object as it was read
	 * @param text the new value
	 * @return the updated object; fails with {@code STORE_CONFLICT} if another write came
	 * first, and with {@code STORE_OUTCOME_UNKNOWN} if reading the object back does not
	 * resolve the outcome
	 */
	public CompletableFuture<Stored> update(Stored current, String text) {
		return update(current, text, current.draft().labels());
	}

	/**
	 * Replaces an object's value and labels if the object still has the version that was
	 * read.
	 * @param current the object as it was read
	 * @param text the new value
	 * @param labels the new labels
	 * @return the updated object; fails with {@code STORE_CONFLICT} if another write came
	 * first, and with {@code STORE_OUTCOME_UNKNOWN} if reading the object back does not
	 * resolve the outcome
	 */
	public CompletableFuture<Stored> update(Stored current, String text, Labels labels) {
		Draft draft = new Draft(text, labels, this.stamps.next());
		return attempt(() -> this.store.update(current.key(), draft, current.version()), current.key(), draft,
				MAX_ATTEMPTS, false);
	}

	private CompletableFuture<Stored> attempt(Supplier<CompletableFuture<Stored>> write, ObjectKey key, Draft draft,
			int attemptsLeft, boolean mayHaveTakenEffect) {
		return write.get().handle((stored, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(stored);
			}
			Optional<ErrorCode> code = codeOf(failure);
			if (is(code, ErrorCode.STORE_OUTCOME_UNKNOWN)) {
				return resolve(write, key, draft, attemptsLeft, failure);
			}
			if (mayHaveTakenEffect && is(code, ErrorCode.STORE_CONFLICT)) {
				return readBack(key, draft).thenApply((found) -> found.orElseThrow(() -> outcomeUnknown(key, failure)));
			}
			return mayHaveTakenEffect ? CompletableFuture.<Stored>failedFuture(outcomeUnknown(key, failure))
					: CompletableFuture.<Stored>failedFuture(failure);
		}).thenCompose((result) -> result);
	}

	private CompletableFuture<Stored> resolve(Supplier<CompletableFuture<Stored>> write, ObjectKey key, Draft draft,
			int attemptsLeft, Throwable failure) {
		return readBack(key, draft).thenCompose((found) -> {
			if (found.isPresent()) {
				return CompletableFuture.completedFuture(found.get());
			}
			if (attemptsLeft <= 1) {
				return CompletableFuture.<Stored>failedFuture(outcomeUnknown(key, failure));
			}
			return attempt(write, key, draft, attemptsLeft - 1, true);
		});
	}

	private CompletableFuture<Optional<Stored>> readBack(ObjectKey key, Draft draft) {
		return this.store.read(key).handle((found, failure) -> {
			if (failure != null) {
				throw outcomeUnknown(key, failure);
			}
			return found.filter((stored) -> stored.draft().stamp().equals(draft.stamp()));
		});
	}

	private static boolean is(Optional<ErrorCode> code, ErrorCode expected) {
		return code.filter((actual) -> actual == expected).isPresent();
	}

	private static StoreException outcomeUnknown(ObjectKey key, Throwable failure) {
		return new StoreException(ErrorCode.STORE_OUTCOME_UNKNOWN,
				"write to " + key + " was not confirmed and could not be settled by reading back", failure);
	}

	/**
	 * Returns the error code of a failed store call.
	 * @param failure the exception that a future of the store failed with
	 * @return the error code, or empty if the cause is not a {@link StoreException}
	 */
	public static Optional<ErrorCode> codeOf(Throwable failure) {
		Throwable cause = Failures.root(failure);
		return (cause instanceof StoreException store) ? Optional.of(store.code()) : Optional.empty();
	}

}
