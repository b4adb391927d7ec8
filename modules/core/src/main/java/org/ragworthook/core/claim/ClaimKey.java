package org.ragworthook.core.claim;

import java.util.Objects;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * The recorded form of an account's idempotency key.
 *
 * @param hex the hash of the account and its idempotency key, 32 hexadecimal digits
 */
public record ClaimKey(String hex) {

	private static final int DIGITS = 32;

	private static final int SHARD_DIGITS = 15;

	/**
	 * Checks that the hash is present.
	 */
	public ClaimKey {
		Objects.requireNonNull(hex, "hex is null");
	}

	/**
	 * Returns the key of a request.
	 * @param account the name of the account
	 * @param idempotencyKey the idempotency key sent by the account
	 * @return the key
	 */
	public static ClaimKey of(String account, String idempotencyKey) {
		String text = account.length() + ":" + account + idempotencyKey;
		return new ClaimKey(DigestUtils.sha256Hex(text).substring(0, DIGITS));
	}

	/**
	 * Returns the shard of the key.
	 * @param shards the number of shards
	 * @return the number of the shard
	 */
	public int shard(int shards) {
		return (int) (Long.parseLong(this.hex.substring(0, SHARD_DIGITS), 16) % shards);
	}

}
