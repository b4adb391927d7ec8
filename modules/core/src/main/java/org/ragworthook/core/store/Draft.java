package org.ragworthook.core.store;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * The content that a write puts into an object.
 *
 * @param text the value
 * @param labels the labels by which the object can be listed
 * @param stamp an identifier unique to this write; after a lost response, reading it back
 * shows whether the write took effect
 */
public record Draft(String text, Labels labels, String stamp) {

	/** The platform's limit on the size of a value, in bytes of UTF-8. */
	public static final int MAX_BYTES = 1 << 20;

	/**
	 * Rejects null components.
	 */
	public Draft {
		Objects.requireNonNull(text, "text is null");
		Objects.requireNonNull(labels, "labels is null");
		Objects.requireNonNull(stamp, "stamp is null");
	}

	/**
	 * Returns a draft without labels.
	 * @param text the value
	 * @param stamp an identifier unique to this write
	 * @return the draft
	 */
	public static Draft of(String text, String stamp) {
		return new Draft(text, Labels.empty(), stamp);
	}

	/**
	 * Returns the size of the value.
	 * @return the size in bytes of UTF-8
	 */
	public int bytes() {
		return this.text.getBytes(StandardCharsets.UTF_8).length;
	}

}
