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
 * Takes in files. The record is written first, then the chunks, then the record again;
 * only that last conditional write makes the file appear. An entry that dies before
 * leaves a record from which the chunks are found and collected.
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
	 * @param store where files are kept
	 * @param stamps marks each write; its writer's name also keeps uploads apart
	 * @param timers wait between two tries
	 * @param clock the time of day
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, Timers timers, InstantSource clock) {
		return new Builder(store, stamps, timers, clock);
	}

	/**
	 * Begins an upload.
	 * @param spec what the account says about it
	 * @return the upload, to which pieces are handed
	 */
	public CompletableFuture<Upload> begin(FileSpec spec) {
		String input = Digests.name("input", this.builder.stamps.next());
		FileId id = FileId.of(spec.account(), spec.idempotencyKey().map((key) -> "key:" + key).orElse("try:" + input));
		long now = this.builder.clock.millis();
		FileRecord record = FileRecord.begun(id, spec, input, now, now + this.builder.retention.toMillis());
		return this.retry.call(() -> this.writer.create(id.key(), record.text(), record.labels(this.builder.shards)))
			.handle((stored, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(new Upload(this, stored, record));
				}
				return StoreRetry.undecided(failure) ? beginAgain(id, input)
						: CompletableFuture.<Upload>failedFuture(refused(failure));
			})
			.thenCompose((upload) -> upload);
	}

	private CompletableFuture<Upload> beginAgain(FileId id, String input) {
		return this.retry.call(() -> this.builder.store.read(id.key())).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> refused(null));
			FileRecord record = FileRecord.parse(stored.text());
			if (record.ready()) {
				return CompletableFuture.completedFuture(new Upload(this, stored, record));
			}
			FileRecord next = record.begunAgain(input);
			return this.writer.update(stored, next.text()).thenApply((written) -> new Upload(this, written, next));
		}).exceptionally((failure) -> {
			throw refused(failure);
		});
	}

	/**
	 * Reads the record of a file.
	 * @param account who asks
	 * @param id the file
	 * @return the record, or empty if there is no such file or another account owns it
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
	 * Builds an intake.
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
		 * Sets a rule for each line.
		 * @param itemValidator returns what is wrong with an item, or the empty text
		 * @return this builder
		 */
		public Builder itemValidator(Function<BatchItem, String> itemValidator) {
			this.itemValidator = Objects.requireNonNull(itemValidator, "itemValidator is null");
			return this;
		}

		/**
		 * Sets how long files are kept.
		 * @param retention counted from the upload, 30 days if not set
		 * @return this builder
		 */
		public Builder retention(Duration retention) {
			this.retention = Objects.requireNonNull(retention, "retention is null");
			return this;
		}

		/**
		 * Sets over how many shards files and jobs are spread.
		 * @param shards the same at all entries
		 * @return this builder
		 */
		public Builder shards(int shards) {
			this.shards = shards;
			return this;
		}

		/**
		 * Builds the intake.
		 * @return the intake
		 */
		public FileIntake build() {
			return new FileIntake(this);
		}

	}

}
