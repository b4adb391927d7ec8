package org.ragworthook.core.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * The hash of a bearer key. Texts and settings hold hashes only, so that whoever reads
 * them cannot call in an account's name.
 *
 * @param text the hash as the text holds it, {@code sha256:} and 64 hexadecimal digits
 */
public record KeyHash(String text) {

	private static final String PREFIX = "sha256:";

	private static final Pattern FORM = Pattern.compile(PREFIX + "[0-9a-f]{64}");

	/**
	 * Checks the form.
	 * @throws IllegalArgumentException if the text is not such a hash
	 */
	public KeyHash {
		if (!isValid(text)) {
			throw new IllegalArgumentException("'" + text + "' is not sha256: and 64 hexadecimal digits");
		}
	}

	/**
	 * Hashes a key.
	 * @param bearerKey the key as a caller sends it
	 * @return its hash
	 */
	public static KeyHash of(String bearerKey) {
		Objects.requireNonNull(bearerKey, "bearerKey is null");
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(bearerKey.getBytes(StandardCharsets.UTF_8));
			return new KeyHash(PREFIX + HexFormat.of().formatHex(digest));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Tells whether a text has the form of a hash.
	 * @param text what to look at
	 * @return whether it is {@code sha256:} and 64 hexadecimal digits in lower case
	 */
	public static boolean isValid(String text) {
		return FORM.matcher(Objects.requireNonNull(text, "text is null")).matches();
	}

	/**
	 * Compares two hashes in a time that does not depend on where they differ.
	 * @param other the other hash
	 * @return whether they are the same
	 */
	public boolean matches(KeyHash other) {
		return MessageDigest.isEqual(this.text.getBytes(StandardCharsets.US_ASCII),
				other.text.getBytes(StandardCharsets.US_ASCII));
	}

}
