package org.ragworthook.core.job;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.store.Labels;

/**
 * The stored record of a job. The JSON keys are the component names in snake case.
 *
 * @param hex the 32 hexadecimal digits of the job's identifier
 * @param account the account that owns the job
 * @param fingerprint a hash of the submitted content
 * @param inputFile the identifier of the input file
 * @param input the common name prefix of the file's chunks
 * @param chunks the number of chunks
 * @param items the number of items
 * @param models the models that the items name, up to a limit
 * @param endpoint the request path of all items
 * @param windowSeconds the completion window, in seconds
 * @param metadata the key-value pairs that the account attached
 * @param shard the number of the shard
 * @param createdMillis when the job was accepted, in milliseconds of Unix time
 * @param dueMillis when the job is due, in milliseconds of Unix time
 * @param status the status of the job
 * @param done the chunks whose items have all ended
 * @param counts the counts of the items in those chunks
 * @param reserved chunks below this number may have been claimed by an owner
 * @param epoch the epoch of the owner that last wrote the record; 0 if none has
 * @param expectedMillis when the owner expects the job to end, in milliseconds of Unix
 * time; 0 if unknown
 * @param cancelMillis when the cancellation was acknowledged, in milliseconds of Unix
 * time; 0 if the job was not cancelled
 * @param endedMillis when the job ended, in milliseconds of Unix time; 0 if it has not
 */
public record JobRecord(String hex, String account, String fingerprint, String inputFile, String input, int chunks,
		int items, List<String> models, String endpoint, long windowSeconds, Map<String, String> metadata, int shard,
		long createdMillis, long dueMillis, JobStatus status, ChunkSet done, JobCounts counts, int reserved, long epoch,
		long expectedMillis, long cancelMillis, long endedMillis) {

	/**
	 * The number of chunks that an owner may claim at first; each progress write reserves
	 * twice this number beyond the ended chunks. An owner claims no chunk outside the
	 * recorded reserve.
	 */
	public static final int RESERVE_CHUNKS = 8;

	/** The label that tells open jobs from ended ones. */
	public static final String STATE = "state";

	/** The value of {@link #STATE} for a job that has not ended. */
	public static final String OPEN = "open";

	/** The value of {@link #STATE} for a job that has ended. */
	public static final String ENDED = "ended";

	/** The label with the number of the shard. */
	public static final String SHARD = "shard";

	/** The label with the hash of the account's name. */
	public static final String ACCOUNT = "account";

	/** The label with the identifier of the input file. */
	public static final String INPUT = "input";

	/**
	 * Copies the collections and replaces components that are missing in the stored
	 * record by empty ones.
	 */
	public JobRecord {
		Objects.requireNonNull(hex, "hex is null");
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(status, "status is null");
		models = (models != null) ? List.copyOf(models) : List.of();
		metadata = (metadata != null) ? Map.copyOf(metadata) : Map.of();
		done = Objects.requireNonNullElse(done, ChunkSet.EMPTY);
		counts = Objects.requireNonNullElse(counts, JobCounts.NONE);
	}

	static JobRecord accepted(JobId id, JobSpec spec, FileRecord file, int shards, long now) {
		return new JobRecord(id.hex(), spec.account(), spec.fingerprint(file), spec.input().id(), file.input(),
				file.chunks(), file.items(), file.models(), spec.endpoint(), spec.window().toSeconds(), spec.metadata(),
				id.shard(shards), now, now + spec.window().toMillis(), JobStatus.IN_PROGRESS, ChunkSet.EMPTY,
				JobCounts.NONE, Math.min(RESERVE_CHUNKS, file.chunks()), 0, 0, 0, 0);
	}

	/**
	 * Parses a job record.
	 * @param text the stored text
	 * @return the record
	 */
	public static JobRecord parse(String text) {
		return JobJson.read(text, JobRecord.class);
	}

	String text() {
		return JobJson.write(this);
	}

	/**
	 * Returns the identifier of the job.
	 * @return the identifier
	 */
	public JobId id() {
		return new JobId(this.hex);
	}

	/**
	 * Returns whether the owner expects the job to miss its due time.
	 * @return whether the expected end is after the due time
	 */
	public boolean late() {
		return this.expectedMillis > this.dueMillis;
	}

	JobRecord withProgress(ChunkSet ended, JobCounts sum, long owner, long expected) {
		int reserve = Math.min(this.chunks, Math.max(this.reserved, ended.size() + 2 * RESERVE_CHUNKS));
		return new JobRecord(this.hex, this.account, this.fingerprint, this.inputFile, this.input, this.chunks,
				this.items, this.models, this.endpoint, this.windowSeconds, this.metadata, this.shard,
				this.createdMillis, this.dueMillis, this.status, ended, sum, reserve, owner, expected,
				this.cancelMillis, this.endedMillis);
	}

	JobRecord withCancel(long now) {
		return with(JobStatus.CANCELLING, now, 0);
	}

	JobRecord withEnd(JobStatus last, long now) {
		return with(last, this.cancelMillis, now);
	}

	private JobRecord with(JobStatus next, long cancelled, long ended) {
		return new JobRecord(this.hex, this.account, this.fingerprint, this.inputFile, this.input, this.chunks,
				this.items, this.models, this.endpoint, this.windowSeconds, this.metadata, this.shard,
				this.createdMillis, this.dueMillis, next, this.done, this.counts, this.reserved, this.epoch,
				this.expectedMillis, cancelled, ended);
	}

	Labels labels() {
		return accountLabels(this.account).with(SHARD, Integer.toString(this.shard))
			.with(INPUT, this.inputFile)
			.with(STATE, this.status.ended() ? ENDED : OPEN);
	}

	static Labels accountLabels(String account) {
		return Labels.of(ACCOUNT, Digests.name("account", account));
	}

}
