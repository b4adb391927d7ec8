package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.Objects;

/**
 * An accepted version of the contract with its text.
 *
 * @param version the version, which increases with each accepted change
 * @param author the name of the operator that submitted it
 * @param reason the reason given by the operator
 * @param acceptedAt the time of acceptance, by the clock of the accepting entry
 * @param text the contract as JSON with comments
 */
public record Revision(long version, String author, String reason, Instant acceptedAt, String text) {

	/**
	 * Checks that no component is null.
	 */
	public Revision {
		Objects.requireNonNull(author, "author is null");
		Objects.requireNonNull(reason, "reason is null");
		Objects.requireNonNull(acceptedAt, "acceptedAt is null");
		Objects.requireNonNull(text, "text is null");
	}

	/**
	 * Returns a one-line description for messages.
	 * @return the version, author, time and reason
	 */
	public String title() {
		return "version " + this.version + " by " + this.author + " at " + this.acceptedAt + " (" + this.reason + ")";
	}

}
