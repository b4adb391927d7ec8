package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * The difference between two texts, as one replaced range of characters. An edit is
 * usually small while the text may be nearly 1 MB, so entries receive the delta instead
 * of the text.
 *
 * @param offset the index of the first replaced character
 * @param removedChars the number of characters removed at the offset
 * @param inserted the text inserted at the offset
 */
record TextDelta(int offset, int removedChars, String inserted) {

	/**
	 * Checks the offset and the length.
	 * @throws IllegalArgumentException if the offset or the length is negative
	 */
	TextDelta {
		Objects.requireNonNull(inserted, "inserted is null");
		if (offset < 0 || removedChars < 0) {
			throw new IllegalArgumentException(
					"offset " + offset + " or removedChars " + removedChars + " is negative");
		}
	}

	/**
	 * Returns the delta between two texts: the range between their longest common prefix
	 * and suffix.
	 * @param before the earlier text
	 * @param after the later text
	 * @return the delta
	 */
	static TextDelta between(String before, String after) {
		int shorter = Math.min(before.length(), after.length());
		int start = 0;
		while (start < shorter && before.charAt(start) == after.charAt(start)) {
			start++;
		}
		int end = 0;
		while (end < shorter - start
				&& before.charAt(before.length() - 1 - end) == after.charAt(after.length() - 1 - end)) {
			end++;
		}
		return new TextDelta(start, before.length() - start - end, after.substring(start, after.length() - end));
	}

	/**
	 * Applies this delta to a text.
	 * @param before the earlier text
	 * @return the later text
	 * @throws IllegalArgumentException if the delta extends beyond the end of the text
	 */
	String apply(String before) {
		if (this.offset + this.removedChars > before.length()) {
			throw new IllegalArgumentException("delta extends to " + (this.offset + this.removedChars)
					+ " in a text of " + before.length() + " characters");
		}
		return before.substring(0, this.offset) + this.inserted + before.substring(this.offset + this.removedChars);
	}

}
