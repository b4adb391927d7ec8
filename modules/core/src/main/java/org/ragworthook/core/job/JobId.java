package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;

/**
 * The identifier of a batch job. It is derived from the account and the idempotency key,
 * so that a repeated submission, to any entry, finds the existing job.
 *
 * @param hex 32 hexadecimal digits
 */
public record JobId(String hex) {

	private static final String PREFIX = "batch_";

	private static final Pattern HEX = Pattern.compile("[0-9a-f]{32}");

	/**
	 * Checks the format.
	 * @throws IllegalArgumentException if the text is not 32 hexadecimal digits
	 */
	public JobId {
		Objects.requireNonNull(hex, "hex is null");
		if (!HEX.matcher(hex).matches()) {
			throw new IllegalArgumentException("'" + hex + "' is not 32 hexadecimal digits");
		}
	}

	/**
	 * Returns the identifier of a job.
	 * @param account the account that submits the job
	 * @param idempotencyKey the account's idempotency key
	 * @return the identifier
	 */
	public static JobId of(String account, String idempotencyKey) {
		return new JobId(Digests.name("job", account, idempotencyKey));
	}

	/**
	 * Parses an identifier from its external form.
	 * @param id the external form, such as {@code batch_0123...}
	 * @return the identifier, or empty if the text is not a valid one
	 */
	public static Optional<JobId> parse(String id) {
		if (!id.startsWith(PREFIX) || !HEX.matcher(id.substring(PREFIX.length())).matches()) {
			return Optional.empty();
		}
		return Optional.of(new JobId(id.substring(PREFIX.length())));
	}

	/**
	 * Returns the external form of this identifier.
	 * @return the external form, such as {@code batch_0123...}
	 */
	public String id() {
		return PREFIX + this.hex;
	}

	/**
	 * Returns the shard of the job.
	 * @param shards the number of shards
	 * @return the number of the shard, from 0
	 */
	public int shard(int shards) {
		return Digests.shard(this.hex, shards);
	}

	/**
	 * Returns the key of the job's record.
	 * @return the key in the object store
	 */
	public ObjectKey key() {
		return ObjectKey.of(Kind.JOB, this.hex);
	}

	/**
	 * Returns the key of the result record of a chunk.
	 * @param chunk the number of the chunk, from 0
	 * @return the key in the object store
	 */
	public ObjectKey resultKey(int chunk) {
		return ObjectKey.of(Kind.RESULT, this.hex + "-" + chunk);
	}

	@Override
	public String toString() {
		return id();
	}

}
