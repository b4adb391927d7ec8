package org.ragworthook.core.claim;

import java.util.Objects;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * An account's idempotency key, as it is recorded.
 *
 * @param hex a hash of the account and its key, 32 hexadecimal digits
 */
public record ClaimKey(String hex) {

	private static final int DIGITS = 32;

	private static final int SHARD_DIGITS = 15;

	/**
	 * Checks that the hash is there.
	 */
	public ClaimKey {
		Objects.requireNonNull(hex, "hex is null");
	}

	/**
	 * Returns the key of a request.
	 * @param account the account that sends it
	 * @param idempotencyKey the account's own key
	 * @return the key
	 */
	public static ClaimKey of(String account, String idempotencyKey) {
		String text = account.length() + ":" + account + idempotencyKey;
		return new ClaimKey(DigestUtils.sha256Hex(text).substring(0, DIGITS));
	}

	/**
	 * Returns the shard that the key belongs to.
	 * @param shards how many shards there are
	 * @return the shard's number
	 */
	public int shard(int shards) {
		return (int) (Long.parseLong(this.hex.substring(0, SHARD_DIGITS), 16) % shards);
	}

}
