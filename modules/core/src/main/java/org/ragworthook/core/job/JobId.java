package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;

/**
 * Names a batch job. The name follows from the account and its idempotency key, so that a
 * job that is sent again, to any entry, meets the first one.
 *
 * @param hex 32 hexadecimal digits
 */
public record JobId(String hex) {

	private static final String PREFIX = "batch_";

	private static final Pattern HEX = Pattern.compile("[0-9a-f]{32}");

	/**
	 * Checks the name.
	 * @throws IllegalArgumentException if it is not made of 32 hexadecimal digits
	 */
	public JobId {
		Objects.requireNonNull(hex, "hex is null");
		if (!HEX.matcher(hex).matches()) {
			throw new IllegalArgumentException("'" + hex + "' is not 32 hexadecimal digits");
		}
	}

	/**
	 * Returns the name of a job.
	 * @param account the account that sends it
	 * @param idempotencyKey the account's own key of the job
	 * @return the name
	 */
	public static JobId of(String account, String idempotencyKey) {
		return new JobId(Digests.name("job", account, idempotencyKey));
	}

	/**
	 * Reads a name as callers see it.
	 * @param id such as {@code batch_0123...}
	 * @return the name, or empty if it cannot be one
	 */
	public static Optional<JobId> parse(String id) {
		if (!id.startsWith(PREFIX) || !HEX.matcher(id.substring(PREFIX.length())).matches()) {
			return Optional.empty();
		}
		return Optional.of(new JobId(id.substring(PREFIX.length())));
	}

	/**
	 * Returns the name as callers see it.
	 * @return such as {@code batch_0123...}
	 */
	public String id() {
		return PREFIX + this.hex;
	}

	/**
	 * Returns the shard that the job belongs to.
	 * @param shards how many shards there are
	 * @return the shard's number
	 */
	public int shard(int shards) {
		return Digests.shard(this.hex, shards);
	}

	/**
	 * Returns the key of the job's record.
	 * @return the key
	 */
	public ObjectKey key() {
		return ObjectKey.of(Kind.JOB, this.hex);
	}

	/**
	 * Returns the key of the result record of a chunk.
	 * @param chunk the chunk's number
	 * @return the key
	 */
	public ObjectKey resultKey(int chunk) {
		return ObjectKey.of(Kind.RESULT, this.hex + "-" + chunk);
	}

	@Override
	public String toString() {
		return id();
	}

}
