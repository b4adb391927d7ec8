package org.ragworthook.core.job;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;

/**
 * Deletes jobs and files whose retention is over, and the chunks of interrupted uploads.
 * Chunks are found through the job and file records, so that a sweep never lists chunks.
 */
public final class JobGarbageCollector {

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private final Duration retention;

	private final Duration uploadLimit;

	private JobGarbageCollector(ObjectStore store, Stamps stamps, InstantSource clock, Duration retention,
			Duration uploadLimit) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = ConditionalWriter.of(store, stamps);
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.retention = Objects.requireNonNull(retention, "retention is null");
		this.uploadLimit = Objects.requireNonNull(uploadLimit, "uploadLimit is null");
	}

	/**
	 * Returns a garbage collector.
	 * @param store the object store
	 * @param stamps identifies each write
	 * @param clock the time of day
	 * @param retention how long a job is kept after its end
	 * @param uploadLimit how long an upload may take before it counts as interrupted
	 * @return the garbage collector
	 */
	public static JobGarbageCollector of(ObjectStore store, Stamps stamps, InstantSource clock, Duration retention,
			Duration uploadLimit) {
		return new JobGarbageCollector(store, stamps, clock, retention, uploadLimit);
	}

	/**
	 * Deletes the expired jobs and files of a shard. Intended to be called by the owner
	 * of the shard a few times a day; concurrent sweeps are harmless.
	 * @param shard the number of the shard
	 * @return completes when the sweep is over; fails if the object store did not answer
	 */
	public CompletableFuture<Void> sweep(int shard) {
		Labels mine = Labels.of(JobRecord.SHARD, Integer.toString(shard));
		return this.store.list(Kind.JOB, mine.with(JobRecord.STATE, JobRecord.ENDED))
			.thenCompose((listing) -> each(listing.objects(), this::sweepJob))
			.thenCompose((done) -> this.store.list(Kind.FILE, mine))
			.thenCompose((listing) -> each(listing.objects(), this::sweepFile));
	}

	private static CompletableFuture<Void> each(List<Stored> objects, Function<Stored, CompletableFuture<Void>> step) {
		CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
		for (Stored object : objects) {
			done = done.thenCompose((before) -> step.apply(object));
		}
		return done;
	}

	// -- jobs

	private CompletableFuture<Void> sweepJob(Stored stored) {
		JobRecord job = JobRecord.parse(stored.text());
		if (this.clock.millis() - job.endedMillis() < this.retention.toMillis()) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
		for (int chunk = 0; chunk < job.chunks(); chunk++) {
			ObjectKey key = job.id().resultKey(chunk);
			done = done.thenCompose((before) -> deleteResults(key));
		}
		return done.thenCompose((before) -> this.store.delete(stored.key(), stored.version()))
			.thenApply((gone) -> null);
	}

	private CompletableFuture<Void> deleteResults(ObjectKey key) {
		return this.store.read(key).thenCompose((found) -> {
			CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
			if (found.isEmpty()) {
				return done;
			}
			for (String part : ResultRecord.parse(found.get().text()).head().parts()) {
				ObjectKey partKey = ObjectKey.of(Kind.RESULT, part);
				done = done.thenCompose((before) -> ChunkDeletion.delete(this.store, partKey))
					.thenApply((gone) -> null);
			}
			return done.thenCompose((before) -> this.store.delete(key, found.get().version()))
				.thenApply((gone) -> null);
		});
	}

	// -- files

	private CompletableFuture<Void> sweepFile(Stored stored) {
		FileRecord file = FileRecord.parse(stored.text());
		boolean old = this.clock.millis() - file.createdMillis() >= this.uploadLimit.toMillis();
		if (file.state() == FileRecord.State.UPLOADING) {
			return old ? delete(stored, file) : CompletableFuture.completedFuture(null);
		}
		if (file.state() == FileRecord.State.DELETING || this.clock.millis() >= file.expiresMillis()) {
			return deleteUnlessUsed(stored, file).exceptionally((failure) -> null);
		}
		return (old && !file.abandoned().isEmpty()) ? deleteAbandoned(stored, file)
				: CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Void> deleteAbandoned(Stored stored, FileRecord file) {
		return deleteTries(file).thenCompose((done) -> this.writer.update(stored, file.withoutAbandoned().text()))
			.thenApply((written) -> null);
	}

	private CompletableFuture<Void> deleteTries(FileRecord file) {
		CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
		for (String input : file.abandoned()) {
			done = done.thenCompose((before) -> ChunkDeletion.deleteAll(this.store, input));
		}
		return done;
	}

	/**
	 * Deletes a file at the request of its account.
	 * @param account the account that asks
	 * @param id the file
	 * @return completes when the file is deleted; fails with {@code FILE_NOT_FOUND}, or
	 * with {@code FILE_IN_USE} while an open job reads the file
	 */
	public CompletableFuture<Void> delete(String account, FileId id) {
		return this.store.read(id.key()).thenCompose((found) -> {
			Stored stored = found.filter((present) -> FileRecord.parse(present.text()).account().equals(account))
				.orElseThrow(() -> new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + id.id()));
			return deleteUnlessUsed(stored, FileRecord.parse(stored.text()));
		});
	}

	// A job on the file may be accepted concurrently. The file is marked before the jobs
	// are listed, and a job is created before the mark is checked, so either the
	// deletion sees the job or the acceptance sees the mark.
	private CompletableFuture<Void> deleteUnlessUsed(Stored stored, FileRecord file) {
		return this.writer.update(stored, file.deleting().text())
			.thenCompose((marked) -> used(file).thenCompose((used) -> {
				if (!used) {
					return delete(marked, file);
				}
				return this.writer.update(marked, file.undeleted().text()).thenApply((kept) -> {
					throw new JobException(ErrorCode.FILE_IN_USE, file.id().id() + " is read by a job");
				});
			}));
	}

	private CompletableFuture<Boolean> used(FileRecord file) {
		Labels readers = Labels.of(JobRecord.INPUT, file.id().id()).with(JobRecord.STATE, JobRecord.OPEN);
		return this.store.list(Kind.JOB, readers).thenApply((listing) -> !listing.objects().isEmpty());
	}

	private CompletableFuture<Void> delete(Stored stored, FileRecord file) {
		return deleteTries(file).thenCompose((done) -> ChunkDeletion.deleteAll(this.store, file.input()))
			.thenCompose((done) -> ChunkDeletion.delete(this.store, file.input(), file.chunks()))
			.thenCompose((done) -> this.store.delete(stored.key(), stored.version()))
			.thenApply((gone) -> null);
	}

}
