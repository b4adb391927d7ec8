package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * What is known of a revision without its text: small enough to be watched by every
 * entry. The text is the snapshot's, changed by the deltas of all revisions since.
 *
 * @param version a number that grows by one with each accepted change
 * @param author the operator who submitted it
 * @param reason why, in the operator's words
 * @param acceptedAt when, by the clock of the entry that accepted it
 * @param digest the SHA-256 of the text in hex digits
 * @param snapshotVersion the version of the newest snapshot that is not newer than this
 * @param snapshot the name of that snapshot's object
 * @param delta what turns the text of the version before into this one's; empty if this
 * version is the snapshot
 * @param replaced of a version that is the snapshot: the name of the snapshot before it
 */
public record RevisionHead(long version, String author, String reason, Instant acceptedAt, String digest,
		long snapshotVersion, String snapshot, Optional<TextDelta> delta, Optional<String> replaced) {

	/**
	 * Checks that all parts are there.
	 */
	public RevisionHead {
		Objects.requireNonNull(author, "author is null");
		Objects.requireNonNull(reason, "reason is null");
		Objects.requireNonNull(acceptedAt, "acceptedAt is null");
		Objects.requireNonNull(digest, "digest is null");
		Objects.requireNonNull(snapshot, "snapshot is null");
		Objects.requireNonNull(delta, "delta is null");
		Objects.requireNonNull(replaced, "replaced is null");
	}

	/**
	 * Returns the digest of a text.
	 * @param text the text
	 * @return hex digits
	 */
	static String digest(String text) {
		return DigestUtils.sha256Hex(text);
	}

	/**
	 * Returns the revision.
	 * @param text its text
	 * @return the revision
	 */
	Revision with(String text) {
		return new Revision(this.version, this.author, this.reason, this.acceptedAt, text);
	}

	/**
	 * Names this revision in a message.
	 * @return version, author, time and reason
	 */
	public String title() {
		return "version " + this.version + " by " + this.author + " at " + this.acceptedAt + " (" + this.reason + ")";
	}

}
