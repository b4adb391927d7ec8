package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Derives object names and shard numbers from content hashes.
 */
final class Digests {

	private static final int NAME_DIGITS = 32;

	private static final int SHARD_DIGITS = 15;

	private Digests() {
	}

	// Each part is preceded by its length. Otherwise two accounts could choose names and
	// keys with the same concatenation, and one would read the job of the other.
	static String name(String... parts) {
		MessageDigest digest = DigestUtils.getSha256Digest();
		for (String part : parts) {
			byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
			digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
			digest.update(bytes);
		}
		return Hex.encodeHexString(digest.digest()).substring(0, NAME_DIGITS);
	}

	static int shard(String hex, int shards) {
		return (int) (Long.parseLong(hex.substring(0, SHARD_DIGITS), 16) % shards);
	}

}
