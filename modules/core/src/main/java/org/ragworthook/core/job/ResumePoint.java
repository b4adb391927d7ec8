package org.ragworthook.core.job;

import java.util.Objects;

/**
 * What an item had generated when it gave way.
 *
 * @param index the item's number in its chunk
 * @param text the text so far
 * @param tokens the tokens so far
 */
public record ResumePoint(int index, String text, int tokens) {

	/**
	 * Checks that all parts are there.
	 */
	public ResumePoint {
		Objects.requireNonNull(text, "text is null");
	}

}
