package org.ragworthook.gateway.job;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.store.Stored;

/**
 * Stores batch jobs and their results on the platform.
 * <p>
 * Results are stored in segments, numbered from 0. A segment is created only if there is
 * none of its number, and only by a process that has read all segments before it. So the
 * position of a result never changes, and no item has two positions, whichever processes
 * believe that they own the job: the slower one gets a conflict, reads what the other has
 * published and continues after it.
 */
public final class JobStore {

	/**
	 * Maximum text of a chunk with more than one item, in characters. Must not change:
	 * processes of all versions that store the same job have to divide it equally.
	 */
	static final int MAX_CHUNK_CHARS = 600_000;

	/** Pause before a retry after the store did not answer or refused a call. */
	static final Duration RETRY_DELAY = Duration.ofMillis(300);

	/** The store's limit of 253 characters, less the number of a part. */
	private static final int MAX_NAME_LENGTH = 247;

	private static final Pattern UNQUALIFIED_ID = Pattern.compile("[a-z0-9]{1,64}");

	private static final Pattern QUALIFIED_ID = Pattern.compile("[a-z0-9]{1,64}/[a-z0-9]{1,64}");

	private final RecordStore store;

	private final ConditionalWriter writer;

	private final ObjectSizeLimit limit;

	private final LargeDocuments documents;

	private JobStore(RecordStore store, ConditionalWriter writer) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.limit = ObjectSizeLimit.of(store);
		this.documents = new LargeDocuments(store, writer, this.limit);
	}

	/**
	 * Returns the jobs of a store.
	 * @param store reads from the platform's store
	 * @param writer writes to the platform's store
	 * @return the jobs
	 */
	public static JobStore of(RecordStore store, ConditionalWriter writer) {
		return new JobStore(store, writer);
	}

	/**
	 * Returns the maximum size of a document that is stored in one object.
	 * @return the size in bytes, encoded as a JSON string
	 */
	long maxDocumentBytes() {
		return this.limit.bytes();
	}

	/**
	 * Stores a new job. Items that are too large for one object are stored before the job
	 * itself, so that a job is stored completely or not at all.
	 * @param job the job with its items
	 * @return whether the job is new; otherwise a job of that id exists
	 */
	public CompletableFuture<Boolean> create(Job job) {
		List<List<JobItem>> chunks = chunks(job.items());
		String document = JobDocuments.writeJob(job);
		if (chunks.size() > 1 || !this.documents.fits(document)) {
			return createInChunks(job, chunks);
		}
		return this.documents.createObject(key(Kind.JOB, job.id()), document).handle((created, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(created);
			}
			return ObjectSizeLimit.isTooLarge(failure) ? createInChunks(job, chunks)
					: CompletableFuture.<Boolean>failedFuture(Failures.root(failure));
		}).thenCompose((result) -> result);
	}

	private CompletableFuture<Boolean> createInChunks(Job job, List<List<JobItem>> chunks) {
		List<CompletableFuture<Boolean>> written = new ArrayList<>();
		for (int n = 0; n < chunks.size(); n++) {
			written
				.add(this.documents.create(partKey(Kind.CHUNK, job.id(), n), JobDocuments.writeItems(chunks.get(n))));
		}
		Job head = new Job(job.id(), job.account(), job.host(), job.path(), job.acceptedMillis(),
				job.configurationVersion(), job.itemCount(), chunks.size(), job.tokens(), false, List.of());
		return CompletableFuture.allOf(written.toArray(CompletableFuture[]::new))
			.thenCompose((done) -> this.documents.createObject(key(Kind.JOB, job.id()), JobDocuments.writeJob(head)));
	}

	private static List<List<JobItem>> chunks(List<JobItem> items) {
		List<List<JobItem>> chunks = new ArrayList<>();
		int size = MAX_CHUNK_CHARS;
		for (JobItem item : items) {
			int length = item.body().length() + item.path().length() + item.headers().toString().length();
			if (size + length > MAX_CHUNK_CHARS) {
				chunks.add(new ArrayList<>());
				size = 0;
			}
			chunks.get(chunks.size() - 1).add(item);
			size += length;
		}
		return chunks;
	}

	/**
	 * Reads a job.
	 * @param id the job's id
	 * @return the job, with its items only if they are in the same object, or empty if
	 * there is none
	 */
	public CompletableFuture<Optional<Job>> read(String id) {
		return this.store.read(key(Kind.JOB, id)).thenApply((found) -> found.map(JobStore::job));
	}

	/**
	 * Reads a job, possibly in a version that is some seconds old. A job changes only
	 * when it is ended, so a read from a copy of the store is enough to answer callers;
	 * the store itself is read only if the copy has no such job. Such reads were 182 of
	 * the 1,132 store calls of a day with little load.
	 * @param id the job's id
	 * @return the job, with its items only if they are in the same object, or empty if
	 * there is none
	 */
	public CompletableFuture<Optional<Job>> readPossiblyStale(String id) {
		return this.store.readPossiblyStale(key(Kind.JOB, id)).thenApply((found) -> found.map(JobStore::job));
	}

	/**
	 * Parses a job from an object that a listing or a watch returned.
	 * @param stored the object
	 * @return the job
	 */
	public static Job job(Stored stored) {
		return JobDocuments.readJob(stored.text());
	}

	/**
	 * Reads the items of a job that are in further objects.
	 * @param job the job
	 * @return the job with all of its items; fails if the store does not return them all
	 */
	public CompletableFuture<Job> withItems(Job job) {
		if (job.chunks() == 0) {
			return CompletableFuture.completedFuture(job);
		}
		List<CompletableFuture<Optional<String>>> reads = new ArrayList<>();
		for (int n = 0; n < job.chunks(); n++) {
			reads.add(this.documents.readPossiblyStale(partKey(Kind.CHUNK, job.id(), n)));
		}
		return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenApply((done) -> {
			List<JobItem> items = new ArrayList<>();
			reads.forEach((read) -> read.join().map(JobDocuments::readItems).ifPresent(items::addAll));
			if (items.size() != job.itemCount()) {
				throw new StoreException(ErrorCode.STORE_UNAVAILABLE,
						"the store returned " + items.size() + " of " + job.itemCount() + " items of job " + job.id());
			}
			return job.withItems(items);
		});
	}

	/**
	 * Ends a job, so that none of its items is run any longer.
	 * @param id the job's id
	 * @return whether there is such a job
	 */
	public CompletableFuture<Boolean> end(String id) {
		return this.store.read(key(Kind.JOB, id)).thenCompose((found) -> {
			if (found.isEmpty()) {
				return CompletableFuture.completedFuture(false);
			}
			Job job = job(found.get());
			if (job.ended()) {
				return CompletableFuture.completedFuture(true);
			}
			return this.writer.update(found.get(), JobDocuments.writeJob(job.asEnded())).thenApply((stored) -> true);
		});
	}

	/**
	 * Reads a segment of results.
	 * @param jobId the job's id
	 * @param number the segment's number, from 0
	 * @return its results, or empty if it is not written yet
	 */
	public CompletableFuture<Optional<List<ItemOutcome>>> segment(String jobId, int number) {
		return this.documents.read(partKey(Kind.RESULT, jobId, number)).thenApply(JobStore::outcomes);
	}

	/**
	 * Reads a segment that has probably existed for a while, so that a copy of the store
	 * has it; segments never change.
	 * @param jobId the job's id
	 * @param number the segment's number, from 0
	 * @return its results, or empty if it is not written yet
	 */
	public CompletableFuture<Optional<List<ItemOutcome>>> segmentPossiblyStale(String jobId, int number) {
		return this.documents.readPossiblyStale(partKey(Kind.RESULT, jobId, number)).thenApply(JobStore::outcomes);
	}

	private static Optional<List<ItemOutcome>> outcomes(Optional<String> segment) {
		return segment.map(JobDocuments::readOutcomes);
	}

	/**
	 * Writes a segment of results.
	 * @param jobId the job's id
	 * @param number the segment's number, from 0; all segments before it must have been
	 * read
	 * @param outcomes its results, none of which is in an earlier segment
	 * @return whether it was written; otherwise another process has written that segment
	 */
	public CompletableFuture<Boolean> append(String jobId, int number, List<ItemOutcome> outcomes) {
		return this.documents.create(partKey(Kind.RESULT, jobId, number), JobDocuments.writeOutcomes(outcomes));
	}

	private static ObjectKey partKey(Kind kind, String jobId, int number) {
		return ObjectKey.of(kind, String.format(Locale.ROOT, "%s.%05d", objectName(jobId), number));
	}

	private static ObjectKey key(Kind kind, String jobId) {
		return ObjectKey.of(kind, objectName(jobId));
	}

	/**
	 * Returns the name of a job's object. Ids that the store would not accept as a name,
	 * or that differ only in case, are encoded in hexadecimal; those that are too long
	 * then are replaced by a digest.
	 * @param jobId the job's id
	 * @return the name
	 */
	static String objectName(String jobId) {
		if (UNQUALIFIED_ID.matcher(jobId).matches()) {
			return "j" + jobId;
		}
		if (QUALIFIED_ID.matcher(jobId).matches()) {
			return "a" + jobId.replace('/', '-');
		}
		String encoded = "x" + HexFormat.of().formatHex(jobId.getBytes(StandardCharsets.UTF_8));
		return (encoded.length() <= MAX_NAME_LENGTH) ? encoded : "d" + Digests.of(jobId);
	}

}
