package org.ragworthook.core.job;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.store.Labels;

/**
 * A job, as recorded at the platform. JSON keys: the components in snake case.
 *
 * @param hex the job's name
 * @param account the account that owns it
 * @param fingerprint a hash of what was asked for
 * @param inputFile the name of the file with the items
 * @param input the common part of the names of the file's chunks
 * @param chunks how many chunks there are
 * @param items how many items there are
 * @param models the models that the items name, up to a bound
 * @param endpoint the path that all items go to
 * @param windowSeconds in which time the job is to be completed
 * @param metadata the account's own notes
 * @param shard the shard that it belongs to
 * @param createdMillis when it was accepted, Unix time
 * @param dueMillis when it is due, Unix time
 * @param status how far it has come
 * @param done the chunks whose items have all ended
 * @param counts how the items of those chunks came out
 * @param reserved chunks below this number may have been claimed by an owner
 * @param epoch the epoch of the owner that wrote the record last; 0: none has
 * @param expectedMillis when its owner expects it to end, Unix time; 0: not known
 * @param cancelMillis when its cancel was acknowledged, Unix time; 0: never
 * @param endedMillis when it ended, Unix time; 0: it has not
 */
public record JobRecord(String hex, String account, String fingerprint, String inputFile, String input, int chunks,
		int items, List<String> models, String endpoint, long windowSeconds, Map<String, String> metadata, int shard,
		long createdMillis, long dueMillis, JobStatus status, ChunkSet done, JobCounts counts, int reserved, long epoch,
		long expectedMillis, long cancelMillis, long endedMillis) {

	/** How many chunks an owner may claim before the record must say so. */
	public static final int RESERVE = 8;

	/** The label by which open and ended jobs are listed. */
	public static final String STATE = "state";

	/** The value of {@link #STATE} of a job that has not ended. */
	public static final String OPEN = "open";

	/** The value of {@link #STATE} of a job that has ended. */
	public static final String ENDED = "ended";

	/** The label by which the jobs of a shard are listed. */
	public static final String SHARD = "shard";

	/** The label by which the jobs of an account are listed: a hash of its name. */
	public static final String ACCOUNT = "account";

	/** The label by which the jobs that use a file are listed. */
	public static final String INPUT = "input";

	/**
	 * Copies the collections; a part that the record lacks is empty.
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
				JobCounts.NONE, Math.min(RESERVE, file.chunks()), 0, 0, 0, 0);
	}

	/**
	 * Reads a job from its record.
	 * @param text the record's value
	 * @return the job
	 */
	public static JobRecord parse(String text) {
		return JobJson.read(text, JobRecord.class);
	}

	String text() {
		return JobJson.write(this);
	}

	/**
	 * Returns the job's name.
	 * @return the name
	 */
	public JobId id() {
		return new JobId(this.hex);
	}

	/**
	 * Tells whether the job will be late, as far as its owner can tell.
	 * @return whether it is expected to end after it is due
	 */
	public boolean late() {
		return this.expectedMillis > this.dueMillis;
	}

	JobRecord progressed(ChunkSet ended, JobCounts sum, long owner, long expected) {
		int reserve = Math.min(this.chunks, Math.max(this.reserved, ended.size() + 2 * RESERVE));
		return new JobRecord(this.hex, this.account, this.fingerprint, this.inputFile, this.input, this.chunks,
				this.items, this.models, this.endpoint, this.windowSeconds, this.metadata, this.shard,
				this.createdMillis, this.dueMillis, this.status, ended, sum, reserve, owner, expected,
				this.cancelMillis, this.endedMillis);
	}

	JobRecord cancelling(long now) {
		return with(JobStatus.CANCELLING, now, 0);
	}

	JobRecord ended(JobStatus last, long now) {
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
