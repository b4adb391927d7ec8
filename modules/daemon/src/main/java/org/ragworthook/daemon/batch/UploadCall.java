package org.ragworthook.daemon.batch;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerFileUpload;
import io.vertx.core.streams.ReadStream;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.job.FileRecord;
import org.ragworthook.core.job.FileSpec;
import org.ragworthook.core.job.Upload;

/**
 * One upload as it streams in. The request is read on only when a piece was taken, so
 * that no file is ever in memory as a whole.
 */
final class UploadCall {

	private final BatchCall call;

	private final BatchThread thread;

	private final long maxBytes;

	private final BiFunction<BatchCall, String, CompletableFuture<Upload>> begin;

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private CompletableFuture<Upload> taken;

	private long bytes;

	UploadCall(BatchCall call, BatchThread thread, long maxBytes,
			BiFunction<BatchCall, String, CompletableFuture<Upload>> begin) {
		this.call = Objects.requireNonNull(call, "call is null");
		this.thread = Objects.requireNonNull(thread, "thread is null");
		this.maxBytes = maxBytes;
		this.begin = Objects.requireNonNull(begin, "begin is null");
	}

	/**
	 * Takes a form with the fields {@code purpose} and {@code file}.
	 */
	void multipart() {
		this.call.request().setExpectMultipart(true);
		this.call.request().uploadHandler(this::file);
		this.call.request().endHandler((end) -> {
			if (this.taken == null) {
				this.call.fail(malformed("the form has no part 'file'"));
			}
			this.ended.complete(null);
		});
	}

	private void file(HttpServerFileUpload upload) {
		if (this.taken == null && upload.name().equals("file")) {
			take(upload, upload.filename());
			upload.endHandler((end) -> this.ended.thenRun(this::finish));
		}
	}

	/**
	 * Takes the lines as the body itself.
	 */
	void plain() {
		take(this.call.request(), "upload.jsonl");
		this.call.request().endHandler((end) -> finish());
	}

	private void take(ReadStream<Buffer> stream, String filename) {
		stream.pause();
		this.call.request().exceptionHandler((failure) -> abort(failure));
		stream.handler((piece) -> {
			stream.pause();
			write(piece.getBytes()).whenComplete((done, failure) -> this.call.onLoop(stream::resume));
		});
		this.taken = this.begin.apply(this.call, filename);
		this.taken.whenComplete((upload, failure) -> this.call.onLoop(stream::resume));
	}

	// After a failure the rest of the request is read and dropped, so that the caller
	// reads
	// the refusal and not a broken connection.
	private CompletableFuture<Upload> write(byte[] piece) {
		this.bytes += piece.length;
		boolean tooLarge = this.bytes > this.maxBytes;
		this.taken = this.taken.thenComposeAsync((upload) -> {
			if (tooLarge) {
				throw new RequestException(ErrorCode.REQUEST_TOO_LARGE,
						"the file has over " + this.maxBytes + " bytes");
			}
			return upload.write(piece).thenApply((done) -> upload);
		}, this.thread);
		return this.taken;
	}

	private void finish() {
		String purpose = this.call.request().getFormAttribute("purpose");
		CompletableFuture<FileRecord> stored = this.taken.thenCompose((upload) -> {
			if (purpose != null && !purpose.equals(FileSpec.BATCH)) {
				throw malformed("the purpose is '" + purpose + "', not 'batch'");
			}
			return upload.complete();
		});
		stored.whenComplete((file, failure) -> {
			if (failure != null) {
				abort(failure);
			}
		});
		this.call.answer(stored.thenApply(FileRoutes::json));
	}

	private void abort(Throwable failure) {
		if (this.taken != null) {
			this.taken.exceptionally((earlier) -> null).thenAccept((upload) -> {
				if (upload != null) {
					upload.abort();
				}
			});
		}
	}

	private static JobException malformed(String detail) {
		return new JobException(ErrorCode.JOB_MALFORMED, detail);
	}

}
