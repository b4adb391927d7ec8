package org.ragworthook.daemon.batch;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.job.FileId;
import org.ragworthook.core.job.FileIntake;
import org.ragworthook.core.job.FileRecord;
import org.ragworthook.core.job.FileSpec;
import org.ragworthook.core.job.JobGarbageCollector;
import org.ragworthook.core.job.JobRecord;
import org.ragworthook.core.job.JobResults;
import org.ragworthook.core.job.Upload;
import org.ragworthook.daemon.http.StreamedResponse;

/**
 * Calls to files: uploads, and the results of jobs.
 */
final class FileRoutes {

	private static final int PAGE = 10_000;

	private static final String MULTIPART = "multipart/form-data";

	private final BatchThread thread;

	private final FileIntake files;

	private final JobResults results;

	private final Supplier<JobGarbageCollector> collector;

	private final long maxBytes;

	FileRoutes(BatchThread thread, FileIntake files, JobResults results, Supplier<JobGarbageCollector> collector,
			long maxBytes) {
		this.thread = Objects.requireNonNull(thread, "thread is null");
		this.files = Objects.requireNonNull(files, "files is null");
		this.results = Objects.requireNonNull(results, "results is null");
		this.collector = Objects.requireNonNull(collector, "collector is null");
		this.maxBytes = maxBytes;
	}

	// -- uploads

	void upload(BatchCall call) {
		String type = call.request().getHeader(HttpHeaders.CONTENT_TYPE);
		UploadCall upload = new UploadCall(call, this.thread, this.maxBytes, this::begin);
		if (type != null && type.startsWith(MULTIPART)) {
			upload.multipart();
		}
		else {
			upload.plain();
		}
	}

	private CompletableFuture<Upload> begin(BatchCall call, String filename) {
		return this.files.begin(new FileSpec(call.account(), call.idempotencyKey(), FileSpec.BATCH, filename));
	}

	// -- reading

	void list(BatchCall call) {
		call.answer(this.results.files(call.account())
			.thenApply((files) -> call.page(files.stream().map(FileRoutes::json).toList(), PAGE)));
	}

	void read(BatchCall call) {
		FileId id = call.fileId();
		call.answer(id.job().isPresent() ? job(call, id).thenApply((job) -> json(id, job))
				: file(call, id).thenApply(FileRoutes::json));
	}

	private CompletableFuture<FileRecord> file(BatchCall call, FileId id) {
		return this.files.file(call.account(), id).thenApply((found) -> found.orElseThrow(() -> notFound(id)));
	}

	// The results of an open job would be a part that looks like the whole.
	private CompletableFuture<JobRecord> job(BatchCall call, FileId id) {
		return this.results.job(call.account(), id.job().orElseThrow())
			.thenApply((found) -> found.filter((job) -> job.status().ended()).orElseThrow(() -> notFound(id)));
	}

	private static JobException notFound(FileId id) {
		return new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + id.id());
	}

	void content(BatchCall call) {
		FileId id = call.fileId();
		CompletableFuture<Void> sent = id.job().isPresent()
				? job(call, id)
					.thenCompose((job) -> this.results.read(job, id.content(), (lines) -> write(call, lines)))
				: file(call, id).thenCompose((file) -> this.results.read(file, (lines) -> write(call, lines)));
		sent.whenComplete((done, failure) -> {
			if (failure != null) {
				abort(call, failure);
			}
			else {
				call.onLoop(() -> complete(call));
			}
		});
	}

	// A chunk of lines is read only when the one before has left for the caller. A slow
	// caller would otherwise have its whole file in memory.
	private static CompletableFuture<Void> write(BatchCall call, List<String> lines) {
		if (lines.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		String text = String.join("\n", lines) + "\n";
		CompletableFuture<Void> written = new CompletableFuture<>();
		call.onLoop(() -> begun(call).write(text).onComplete((result) -> {
			if (result.succeeded()) {
				written.complete(null);
			}
			else {
				written.completeExceptionally(result.cause());
			}
		}));
		return written;
	}

	private static HttpServerResponse begun(BatchCall call) {
		HttpServerResponse response = call.routing().response();
		if (!response.headWritten()) {
			StreamedResponse.of(call.request()).begin();
			response.putHeader(HttpHeaders.CONTENT_TYPE, "application/jsonl");
		}
		return response;
	}

	private static void complete(BatchCall call) {
		begun(call);
		StreamedResponse.of(call.request()).complete();
	}

	// Ended properly, a part would be taken for the whole; the connection is cut instead.
	private static void abort(BatchCall call, Throwable failure) {
		call.onLoop(() -> {
			if (call.routing().response().headWritten()) {
				StreamedResponse.of(call.request()).breakOff();
			}
			else {
				call.fail(failure);
			}
		});
	}

	void delete(BatchCall call) {
		FileId id = call.fileId();
		if (id.job().isPresent()) {
			throw new JobException(ErrorCode.FILE_IN_USE, id.id() + " is kept with its job");
		}
		call.answer(this.collector.get()
			.delete(call.account(), id)
			.thenApply((done) -> new JsonObject().put("id", id.id()).put("object", "file").put("deleted", true)));
	}

	// -- shape

	static JsonObject json(FileRecord file) {
		return new JsonObject().put("id", file.id().id())
			.put("object", "file")
			.put("bytes", file.bytes())
			.put("created_at", file.createdMillis() / 1000)
			.put("expires_at", file.expiresMillis() / 1000)
			.put("filename", file.filename())
			.put("purpose", file.purpose())
			.put("status", "processed");
	}

	private static JsonObject json(FileId id, JobRecord job) {
		return new JsonObject().put("id", id.id())
			.put("object", "file")
			.put("bytes", 0)
			.put("created_at", job.createdMillis() / 1000)
			.put("filename", id.id() + ".jsonl")
			.put("purpose", "batch_output")
			.put("status", "processed");
	}

}
