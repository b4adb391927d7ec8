package org.ragworthook.core.job;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Timers;

/**
 * Accepts file uploads. An upload first creates the file's record, then stores the
 * chunks, then updates the record; the file becomes visible by that last conditional
 * write. An entry that crashes before leaves a record from which the chunks are found and
 * garbage-collected.
 */
public final class FileIntake {

	private final Builder builder;

	private final ConditionalWriter writer;

	private final StoreRetry retry;

	private FileIntake(Builder builder) {
		this.builder = builder;
		this.writer = ConditionalWriter.of(builder.store, builder.stamps);
		this.retry = new StoreRetry(builder.timers);
	}

	/**
	 * Returns a builder.
	 * @param store the object store
	 * @param stamps identifies each write; also makes the chunk names of each upload
	 * unique
	 * @param timers schedules retries
	 * @param clock the time of day
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, Timers timers, InstantSource clock) {
		return new Builder(store, stamps, timers, clock);
	}

	/**
	 * Starts an upload. An upload that was started before under the same idempotency key
	 * and did not complete is restarted.
	 * @param spec the description of the file
	 * @return the upload, to which the content is written; fails with {@code
	 * FILE_NOT_STORED} if the record cannot be written
	 */
	public CompletableFuture<Upload> begin(FileSpec spec) {
		String input = Digests.name("input", this.builder.stamps.next());
		FileId id = FileId.of(spec.account(), spec.idempotencyKey().map((key) -> "key:" + key).orElse("try:" + input));
		long now = this.builder.clock.millis();
		FileRecord record = FileRecord.uploading(id, spec, input, now, now + this.builder.retention.toMillis());
		return this.retry.call(() -> this.writer.create(id.key(), record.text(), record.labels(this.builder.shards)))
			.handle((stored, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(new Upload(this, stored, record));
				}
				return StoreRetry.conflictOrUnknown(failure) ? restart(id, input)
						: CompletableFuture.<Upload>failedFuture(refused(failure));
			})
			.thenCompose((upload) -> upload);
	}

	private CompletableFuture<Upload> restart(FileId id, String input) {
		return this.retry.call(() -> this.builder.store.read(id.key())).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> refused(null));
			FileRecord record = FileRecord.parse(stored.text());
			if (record.ready()) {
				return CompletableFuture.completedFuture(new Upload(this, stored, record));
			}
			FileRecord next = record.restarted(input);
			return this.writer.update(stored, next.text()).thenApply((written) -> new Upload(this, written, next));
		}).exceptionally((failure) -> {
			throw refused(failure);
		});
	}

	/**
	 * Reads the record of a file.
	 * @param account the account that asks
	 * @param id the file
	 * @return the record, or empty if the file does not exist, is not completely stored
	 * or belongs to another account
	 */
	public CompletableFuture<Optional<FileRecord>> file(String account, FileId id) {
		return this.builder.store.read(id.key())
			.thenApply((found) -> found.map((stored) -> FileRecord.parse(stored.text()))
				.filter((record) -> record.ready() && record.account().equals(account)));
	}

	private static JobException refused(Throwable failure) {
		return new JobException(ErrorCode.FILE_NOT_STORED, "the upload was not begun", Failures.root(failure));
	}

	ObjectStore store() {
		return this.builder.store;
	}

	ConditionalWriter writer() {
		return this.writer;
	}

	StoreRetry retry() {
		return this.retry;
	}

	Function<BatchItem, String> itemValidator() {
		return this.builder.itemValidator;
	}

	/**
	 * Builds a file intake.
	 */
	public static final class Builder {

		private final ObjectStore store;

		private final Stamps stamps;

		private final Timers timers;

		private final InstantSource clock;

		private Function<BatchItem, String> itemValidator = (item) -> "";

		private Duration retention = Duration.ofDays(30);

		private int shards = 1;

		private Builder(ObjectStore store, Stamps stamps, Timers timers, InstantSource clock) {
			this.store = Objects.requireNonNull(store, "store is null");
			this.stamps = Objects.requireNonNull(stamps, "stamps is null");
			this.timers = Objects.requireNonNull(timers, "timers is null");
			this.clock = Objects.requireNonNull(clock, "clock is null");
		}

		/**
		 * Sets the check that is applied to each item.
		 * @param itemValidator returns the description of what is wrong with an item, or
		 * the empty string; accepts every item if not set
		 * @return this builder
		 */
		public Builder itemValidator(Function<BatchItem, String> itemValidator) {
			this.itemValidator = Objects.requireNonNull(itemValidator, "itemValidator is null");
			return this;
		}

		/**
		 * Sets how long files are kept.
		 * @param retention the time from the start of the upload, 30 days if not set
		 * @return this builder
		 */
		public Builder retention(Duration retention) {
			this.retention = Objects.requireNonNull(retention, "retention is null");
			return this;
		}

		/**
		 * Sets the number of shards.
		 * @param shards the number of shards, the same at all entries; 1 if not set
		 * @return this builder
		 */
		public Builder shards(int shards) {
			this.shards = shards;
			return this;
		}

		/**
		 * Builds the file intake.
		 * @return the file intake
		 */
		public FileIntake build() {
			return new FileIntake(this);
		}

	}

}
