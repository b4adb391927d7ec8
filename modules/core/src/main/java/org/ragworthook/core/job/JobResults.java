package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * Reads jobs, results and files. Uses only the object store, so that any entry can serve
 * any job.
 */
public final class JobResults {

	private final ObjectStore store;

	private JobResults(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	/**
	 * Returns a reader.
	 * @param store the object store
	 * @return the reader
	 */
	public static JobResults of(ObjectStore store) {
		return new JobResults(store);
	}

	/**
	 * Reads the record of a job.
	 * @param account the account that asks
	 * @param id the job
	 * @return the record, or empty if the job does not exist or belongs to another
	 * account
	 */
	public CompletableFuture<Optional<JobRecord>> job(String account, JobId id) {
		return this.store.read(id.key())
			.thenApply((found) -> found.map((stored) -> JobRecord.parse(stored.text()))
				.filter((job) -> job.account().equals(account)));
	}

	/**
	 * Reads the jobs of an account.
	 * @param account the account that asks
	 * @return the records of its jobs, newest first
	 */
	public CompletableFuture<List<JobRecord>> jobs(String account) {
		return this.store.list(Kind.JOB, JobRecord.accountLabels(account))
			.thenApply((listing) -> listing.objects()
				.stream()
				.map((stored) -> JobRecord.parse(stored.text()))
				.filter((job) -> job.account().equals(account))
				.sorted(Comparator.comparingLong(JobRecord::createdMillis).reversed().thenComparing(JobRecord::hex))
				.toList());
	}

	/**
	 * Reads the lines of a job's output or error file, one chunk at a time.
	 * @param job the job
	 * @param content the kind of file, output or errors
	 * @param sink called with the lines of a chunk; the next chunk is read when its
	 * future completes
	 * @return completes after the last chunk; fails if an item of an ended job has no
	 * result, after the lines of the others
	 */
	public CompletableFuture<Void> read(JobRecord job, FileId.Content content,
			Function<List<String>, CompletableFuture<Void>> sink) {
		return readFrom(job, 0, 0, content, sink);
	}

	private CompletableFuture<Void> readFrom(JobRecord job, int chunk, int items, FileId.Content content,
			Function<List<String>, CompletableFuture<Void>> sink) {
		if (chunk >= job.chunks()) {
			return (job.status().ended() && items < job.items()) ? CompletableFuture.failedFuture(
					gone("results of " + (job.items() - items) + " items of job " + job.id().id() + " cannot be found"))
					: CompletableFuture.completedFuture(null);
		}
		return results(job, chunk).thenCompose((results) -> sink.apply(lines(results, content))
			.thenCompose((done) -> readFrom(job, chunk + 1, items + results.size(), content, sink)));
	}

	private static JobException gone(String detail) {
		return new JobException(ErrorCode.FILE_NOT_FOUND, detail);
	}

	private static List<String> lines(List<ItemResult> results, FileId.Content content) {
		boolean output = content == FileId.Content.OUTPUT;
		return results.stream()
			.filter((result) -> output == (result.end() == ItemStatus.COMPLETED))
			.sorted(Comparator.comparingInt(ItemResult::index))
			.map(ItemResult::line)
			.toList();
	}

	/**
	 * Reads the results of a chunk. Items of a cancelled job that have no result are
	 * returned as cancelled.
	 * @param job the job
	 * @param chunk the number of the chunk, from 0
	 * @return the results written so far
	 */
	public CompletableFuture<List<ItemResult>> results(JobRecord job, int chunk) {
		return this.store.read(job.id().resultKey(chunk)).thenCompose((found) -> {
			Optional<ResultRecord> record = found.map((stored) -> ResultRecord.parse(stored.text()));
			CompletableFuture<List<ItemResult>> there = record.map(this::all)
				.orElseGet(() -> CompletableFuture.completedFuture(List.of()));
			boolean complete = record.map(ResultRecord::complete).orElse(false);
			return (job.status() == JobStatus.CANCELLED && !complete)
					? there.thenCompose((results) -> withCancelled(job, chunk, results)) : there;
		});
	}

	private CompletableFuture<List<ItemResult>> all(ResultRecord record) {
		CompletableFuture<List<ItemResult>> all = CompletableFuture.completedFuture(new ArrayList<>(record.results()));
		for (String part : record.head().parts()) {
			all = all.thenCombine(ChunkClaimer.readPart(this.store, part), (before, further) -> {
				before.addAll(further);
				return before;
			});
		}
		return all;
	}

	private CompletableFuture<List<ItemResult>> withCancelled(JobRecord job, int chunk, List<ItemResult> results) {
		return this.store.read(FileRecord.chunkKey(job.input(), chunk)).thenApply((input) -> {
			List<ItemResult> all = new ArrayList<>(results);
			Set<Integer> ended = new HashSet<>();
			results.forEach((result) -> ended.add(result.index()));
			List<String> lines = input.map(Stored::text).orElse("").lines().toList();
			for (int index = 0; index < lines.size(); index++) {
				if (!ended.contains(index)) {
					all.add(cancelled(job, chunk, index, BatchItem.parse(index + 1, lines.get(index))));
				}
			}
			return all;
		});
	}

	private static ItemResult cancelled(JobRecord job, int chunk, int index, BatchItem item) {
		return ItemResult.unanswered(new ItemId(job.id(), chunk, index, item.customId()), ItemStatus.CANCELLED,
				ErrorCode.ITEM_CANCELLED, "the job was cancelled before the item started");
	}

	/**
	 * Reads the lines of an uploaded file, one chunk at a time.
	 * @param file the file
	 * @param sink called with the lines of a chunk; the next chunk is read when its
	 * future completes
	 * @return completes after the last chunk; fails at a chunk that cannot be found
	 */
	public CompletableFuture<Void> read(FileRecord file, Function<List<String>, CompletableFuture<Void>> sink) {
		return readFrom(file, 0, sink);
	}

	private CompletableFuture<Void> readFrom(FileRecord file, int chunk,
			Function<List<String>, CompletableFuture<Void>> sink) {
		if (chunk >= file.chunks()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.store.read(FileRecord.chunkKey(file.input(), chunk))
			.thenCompose((found) -> sink.apply(
					found.orElseThrow(() -> gone("part " + chunk + " of file " + file.id().id() + " cannot be found"))
						.text()
						.lines()
						.toList()))
			.thenCompose((done) -> readFrom(file, chunk + 1, sink));
	}

	/**
	 * Reads the files of an account.
	 * @param account the account that asks
	 * @return the records of its completely stored files, newest first
	 */
	public CompletableFuture<List<FileRecord>> files(String account) {
		Labels owner = Labels.of(JobRecord.ACCOUNT, Digests.name("account", account));
		return this.store.list(Kind.FILE, owner)
			.thenApply((listing) -> listing.objects()
				.stream()
				.map((stored) -> FileRecord.parse(stored.text()))
				.filter((file) -> file.ready() && file.account().equals(account))
				.sorted(Comparator.comparingLong(FileRecord::createdMillis).reversed())
				.toList());
	}

}
