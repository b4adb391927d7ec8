package org.ragworthook.gateway.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names for objects that are derived from a text of any length.
 */
final class Digests {

	private Digests() {
	}

	/**
	 * Returns the SHA-256 digest of a text.
	 * @param text the text
	 * @return the digest in hexadecimal, 64 characters
	 */
	static String of(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
