package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * A text that an operator submits.
 *
 * @param text the JSON with comments
 * @param base the version that the operator edited; 0 for the first text
 * @param author the operator
 * @param reason why, in the operator's words
 * @param strand whether accepted work may be left without its model or account
 */
public record Proposal(String text, long base, String author, String reason, boolean strand) {

	/**
	 * Checks that all parts are there.
	 */
	public Proposal {
		Objects.requireNonNull(text, "text is null");
		Objects.requireNonNull(author, "author is null");
		Objects.requireNonNull(reason, "reason is null");
	}

}
