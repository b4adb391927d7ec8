package org.ragworthook.core.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * The hash of an API key. Contracts and settings contain hashes only, so that reading
 * them does not allow calling as an account.
 *
 * @param text the encoded hash, {@code sha256:} and 64 lower-case hexadecimal digits
 */
public record KeyHash(String text) {

	private static final String PREFIX = "sha256:";

	private static final Pattern FORM = Pattern.compile(PREFIX + "[0-9a-f]{64}");

	/**
	 * Checks the format.
	 * @throws IllegalArgumentException if the text is not in this format
	 */
	public KeyHash {
		if (!isValid(text)) {
			throw new IllegalArgumentException("'" + text + "' is not sha256: and 64 hexadecimal digits");
		}
	}

	/**
	 * Returns the hash of a key.
	 * @param bearerKey the plain key as sent by the caller
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
	 * Returns whether a text is a well-formed hash.
	 * @param text the text to check
	 * @return whether it is {@code sha256:} and 64 hexadecimal digits in lower case
	 */
	public static boolean isValid(String text) {
		return FORM.matcher(Objects.requireNonNull(text, "text is null")).matches();
	}

	/**
	 * Compares two hashes in constant time.
	 * @param other the other hash
	 * @return whether the hashes are equal
	 */
	public boolean matches(KeyHash other) {
		return MessageDigest.isEqual(this.text.getBytes(StandardCharsets.US_ASCII),
				other.text.getBytes(StandardCharsets.US_ASCII));
	}

}
