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
 * One try at an upload. Pieces are handed in one after another, the next when the future
 * of the one before is complete; so no more is in memory than one chunk being filled and
 * a few that are being stored.
 */
public final class Upload {

	private static final int IN_FLIGHT = 2;

	private final ConditionalWriter writer;

	private final ObjectStore store;

	private final StoreRetry retry;

	private final Stored begun;

	private final FileRecord record;

	private final ChunkPacker packer;

	private final LineValidator checks;

	private final MessageDigest digest = DigestUtils.getSha256Digest();

	private final Deque<CompletableFuture<Stored>> inFlight = new ArrayDeque<>();

	private int chunks;

	private long bytes;

	Upload(FileIntake intake, Stored begun, FileRecord record) {
		this.writer = intake.writer();
		this.store = intake.store();
		this.retry = intake.retry();
		this.begun = begun;
		this.record = record;
		this.checks = new LineValidator(intake.itemValidator());
		this.packer = new ChunkPacker(this.checks);
	}

	/**
	 * Takes a piece of the file.
	 * @param piece the bytes, wherever they were cut
	 * @return completes when the next piece may come; fails if a line is broken or a
	 * chunk could not be stored, after which the upload is to be aborted
	 */
	public CompletableFuture<Void> write(byte[] piece) {
		this.digest.update(piece);
		this.bytes += piece.length;
		try {
			if (!this.record.ready()) {
				this.packer.take(piece, this::put);
			}
		}
		catch (JobException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		return settle(IN_FLIGHT);
	}

	private void put(String chunk) {
		ObjectKey key = FileRecord.chunkKey(this.record.input(), this.chunks++);
		CompletableFuture<Stored> put = this.retry.call(() -> this.writer.create(key, chunk, Labels.empty()));
		this.inFlight.add(put);
	}

	private CompletableFuture<Void> settle(int left) {
		CompletableFuture<Void> settled = CompletableFuture.completedFuture(null);
		while (this.inFlight.size() > left) {
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
	 * Ends the file. Nothing of it is to be seen before.
	 * @return the file's record; fails if something could not be stored or if the file
	 * was sent before with other content
	 */
	public CompletableFuture<FileRecord> complete() {
		if (this.record.ready()) {
			return same();
		}
		try {
			this.packer.end().ifPresent(this::put);
			this.packer.last().ifPresent(this::put);
			if (this.packer.items() == 0) {
				throw new JobException(ErrorCode.JOB_BROKEN_LINE, "the file has no lines");
			}
		}
		catch (JobException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		UploadSummary size = new UploadSummary(this.chunks, this.packer.items(), this.bytes, hash(),
				this.checks.models(), this.checks.endpoint());
		FileRecord ready = this.record.stored(size);
		return settle(0).thenCompose((done) -> this.retry.call(() -> this.writer.update(this.begun, ready.text())))
			.thenApply((stored) -> ready)
			.exceptionallyCompose((failure) -> StoreRetry.undecided(failure) ? settled(ready, failure)
					: CompletableFuture.failedFuture(failure))
			.exceptionally((failure) -> {
				throw refused(failure);
			});
	}

	private CompletableFuture<FileRecord> settled(FileRecord ready, Throwable failure) {
		return this.store.read(this.begun.key()).thenApply((found) -> {
			if (found.map(Stored::text).filter(ready.text()::equals).isEmpty()) {
				throw refused(failure);
			}
			return ready;
		});
	}

	private CompletableFuture<FileRecord> same() {
		if (hash().equals(this.record.sha256())) {
			return CompletableFuture.completedFuture(this.record);
		}
		return CompletableFuture.failedFuture(new JobException(ErrorCode.FILE_KEY_REUSED,
				this.record.id() + " was uploaded under this key with other content"));
	}

	private String hash() {
		return Hex.encodeHexString(this.digest.digest());
	}

	/**
	 * Removes what was stored so far. What cannot be removed now is collected later.
	 * @return completes when it was tried
	 */
	public CompletableFuture<Void> abort() {
		if (this.record.ready()) {
			return CompletableFuture.completedFuture(null);
		}
		return settle(0).exceptionally((failure) -> null)
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
