package org.ragworthook.core.store;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * What a write puts into an object.
 *
 * @param text the value, UTF-8 text
 * @param labels the labels to list it by
 * @param stamp who wrote it, unique to this write; read back after a lost answer it tells
 * whether the write took effect
 */
public record Draft(String text, Labels labels, String stamp) {

	/** The largest value that the platform takes, in bytes of UTF-8. */
	public static final int MAX_BYTES = 1 << 20;

	/**
	 * Checks that all parts are there.
	 */
	public Draft {
		Objects.requireNonNull(text, "text is null");
		Objects.requireNonNull(labels, "labels is null");
		Objects.requireNonNull(stamp, "stamp is null");
	}

	/**
	 * Returns a draft without labels.
	 * @param text the value
	 * @param stamp who writes it, unique to this write
	 * @return the draft
	 */
	public static Draft of(String text, String stamp) {
		return new Draft(text, Labels.empty(), stamp);
	}

	/**
	 * Returns the size of the value.
	 * @return bytes of UTF-8
	 */
	public int bytes() {
		return this.text.getBytes(StandardCharsets.UTF_8).length;
	}

}
