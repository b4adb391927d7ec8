package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * What turns one text into another: at one place some characters are removed and others
 * inserted. An operator's edit is small and the text may be near 1 MB, so this is what
 * travels to each entry.
 *
 * @param at how many characters stay in front
 * @param removed how many characters go from there
 * @param inserted what comes in their place
 */
record TextDelta(int at, int removed, String inserted) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is negative
	 */
	TextDelta {
		Objects.requireNonNull(inserted, "inserted is null");
		if (at < 0 || removed < 0) {
			throw new IllegalArgumentException("at " + at + " or removed " + removed + " is negative");
		}
	}

	/**
	 * Finds the delta between two texts: the least that lies between their common
	 * beginning and their common end.
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
	 * Applies the delta.
	 * @param before the earlier text
	 * @return the later text
	 * @throws IllegalArgumentException if the delta reaches beyond the text
	 */
	String apply(String before) {
		if (this.at + this.removed > before.length()) {
			throw new IllegalArgumentException("delta reaches to " + (this.at + this.removed) + " in a text of "
					+ before.length() + " characters");
		}
		return before.substring(0, this.at) + this.inserted + before.substring(this.at + this.removed);
	}

}
