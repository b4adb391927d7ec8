package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.Objects;

/**
 * A text as it was accepted.
 *
 * @param version a number that grows by one with each accepted change
 * @param author the operator who submitted it
 * @param reason why, in the operator's words
 * @param acceptedAt when, by the clock of the entry that accepted it
 * @param text the JSON with comments
 */
public record Revision(long version, String author, String reason, Instant acceptedAt, String text) {

	/**
	 * Checks that all parts are there.
	 */
	public Revision {
		Objects.requireNonNull(author, "author is null");
		Objects.requireNonNull(reason, "reason is null");
		Objects.requireNonNull(acceptedAt, "acceptedAt is null");
		Objects.requireNonNull(text, "text is null");
	}

	/**
	 * Names this revision in a message.
	 * @return version, author, time and reason
	 */
	public String title() {
		return "version " + this.version + " by " + this.author + " at " + this.acceptedAt + " (" + this.reason + ")";
	}

}
