package org.ragworthook.core.job;

import java.util.Objects;

/**
 * The text that an item had generated when it was preempted.
 *
 * @param index the index of the item in its chunk
 * @param text the text generated so far
 * @param tokens the number of tokens in the text
 */
public record ResumePoint(int index, String text, int tokens) {

	/**
	 * Checks that no component is null.
	 */
	public ResumePoint {
		Objects.requireNonNull(text, "text is null");
	}

}
