package org.ragworthook.core.job;

import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * One attempt at an upload. The content is written piece by piece, each when the future
 * of the previous write has completed, so that memory holds no more than one chunk being
 * filled and a few being stored.
 */
public final class Upload {

	private static final int MAX_IN_FLIGHT = 2;

	private final ConditionalWriter writer;

	private final ObjectStore store;

	private final StoreRetry retry;

	private final Stored recordObject;

	private final FileRecord record;

	private final ChunkPacker packer;

	private final LineValidator validator;

	private final MessageDigest digest = DigestUtils.getSha256Digest();

	private final Deque<CompletableFuture<Stored>> inFlight = new ArrayDeque<>();

	private int chunks;

	private long bytes;

	Upload(FileIntake intake, Stored recordObject, FileRecord record) {
		this.writer = intake.writer();
		this.store = intake.store();
		this.retry = intake.retry();
		this.recordObject = recordObject;
		this.record = record;
		this.validator = new LineValidator(intake.itemValidator());
		this.packer = new ChunkPacker(this.validator);
	}

	/**
	 * Writes the next bytes of the file.
	 * @param data the bytes; lines may be split at any byte
	 * @return completes when the next bytes may be written; fails if a line is invalid or
	 * a chunk could not be stored, after which the upload is to be aborted
	 */
	public CompletableFuture<Void> write(byte[] data) {
		this.digest.update(data);
		this.bytes += data.length;
		try {
			if (!this.record.ready()) {
				this.packer.write(data, this::storeChunk);
			}
		}
		catch (JobException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		return awaitInFlight(MAX_IN_FLIGHT);
	}

	private void storeChunk(String chunk) {
		ObjectKey key = FileRecord.chunkKey(this.record.input(), this.chunks++);
		CompletableFuture<Stored> put = this.retry.call(() -> this.writer.create(key, chunk, Labels.empty()));
		this.inFlight.add(put);
	}

	private CompletableFuture<Void> awaitInFlight(int maxLeft) {
		CompletableFuture<Void> settled = CompletableFuture.completedFuture(null);
		while (this.inFlight.size() > maxLeft) {
			CompletableFuture<Stored> oldest = this.inFlight.poll();
			settled = settled.thenCompose((before) -> oldest.thenAccept((stored) -> {
			}));
		}
		return settled.handle((done, failure) -> {
			if (failure != null) {
				throw refused(failure);
			}
			return done;
		});
	}

	/**
	 * Completes the upload. The file is not visible before.
	 * @return the record of the file; fails if a line is invalid, if the file has no
	 * lines, if a chunk or the record could not be stored, or if the file was uploaded
	 * before with other content
	 */
	public CompletableFuture<FileRecord> complete() {
		if (this.record.ready()) {
			return matchExisting();
		}
		try {
			this.packer.endStream().ifPresent(this::storeChunk);
			this.packer.flush().ifPresent(this::storeChunk);
			if (this.packer.items() == 0) {
				throw new JobException(ErrorCode.JOB_BROKEN_LINE, "the file has no lines");
			}
		}
		catch (JobException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		UploadSummary summary = new UploadSummary(this.chunks, this.packer.items(), this.bytes, sha256(),
				this.validator.models(), this.validator.endpoint());
		FileRecord ready = this.record.stored(summary);
		return awaitInFlight(0)
			.thenCompose((done) -> this.retry.call(() -> this.writer.update(this.recordObject, ready.text())))
			.thenApply((stored) -> ready)
			.exceptionallyCompose((failure) -> StoreRetry.conflictOrUnknown(failure) ? confirmWrite(ready, failure)
					: CompletableFuture.failedFuture(failure))
			.exceptionally((failure) -> {
				throw refused(failure);
			});
	}

	private CompletableFuture<FileRecord> confirmWrite(FileRecord ready, Throwable failure) {
		return this.store.read(this.recordObject.key()).thenApply((found) -> {
			if (found.map(Stored::text).filter(ready.text()::equals).isEmpty()) {
				throw refused(failure);
			}
			return ready;
		});
	}

	private CompletableFuture<FileRecord> matchExisting() {
		if (sha256().equals(this.record.sha256())) {
			return CompletableFuture.completedFuture(this.record);
		}
		return CompletableFuture.failedFuture(new JobException(ErrorCode.FILE_KEY_REUSED,
				this.record.id() + " was uploaded under this key with other content"));
	}

	private String sha256() {
		return Hex.encodeHexString(this.digest.digest());
	}

	/**
	 * Deletes the chunks stored so far. Chunks that cannot be deleted now are
	 * garbage-collected later.
	 * @return completes when the deletion was attempted; does not fail
	 */
	public CompletableFuture<Void> abort() {
		if (this.record.ready()) {
			return CompletableFuture.completedFuture(null);
		}
		return awaitInFlight(0).exceptionally((failure) -> null)
			.thenCompose((done) -> ChunkDeletion.delete(this.store, this.record.input(), this.chunks))
			.exceptionally((failure) -> null);
	}

	private static JobException refused(Throwable failure) {
		Throwable cause = Failures.root(failure);
		if (cause instanceof JobException job) {
			return job;
		}
		Optional<ErrorCode> code = ConditionalWriter.codeOf(failure);
		return new JobException(ErrorCode.FILE_NOT_STORED,
				"the file was not stored (" + code.map(ErrorCode::name).orElse("unexpected failure") + ")", cause);
	}

}
