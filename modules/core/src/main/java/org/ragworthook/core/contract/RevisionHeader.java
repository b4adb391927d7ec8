package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * The metadata of a revision without its text, small enough to be watched by every entry.
 * The text is restored by applying the deltas of all revisions since the snapshot to the
 * text of the snapshot.
 *
 * @param version the version, which increases with each accepted change
 * @param author the name of the operator that submitted it
 * @param reason the reason given by the operator
 * @param acceptedAt the time of acceptance, by the clock of the accepting entry
 * @param digest the SHA-256 digest of the text in hexadecimal digits
 * @param snapshotVersion the version of the snapshot that this revision is based on;
 * equal to {@code version} if it has its own snapshot
 * @param snapshot the object name of that snapshot
 * @param delta the change from the text of the previous version; empty if this version
 * has its own snapshot
 * @param replacedSnapshot the object name of the previous snapshot if this version has
 * its own snapshot and there was one before; otherwise empty
 */
public record RevisionHeader(long version, String author, String reason, Instant acceptedAt, String digest,
		long snapshotVersion, String snapshot, Optional<TextDelta> delta, Optional<String> replacedSnapshot) {

	/**
	 * Checks that no component is null.
	 */
	public RevisionHeader {
		Objects.requireNonNull(author, "author is null");
		Objects.requireNonNull(reason, "reason is null");
		Objects.requireNonNull(acceptedAt, "acceptedAt is null");
		Objects.requireNonNull(digest, "digest is null");
		Objects.requireNonNull(snapshot, "snapshot is null");
		Objects.requireNonNull(delta, "delta is null");
		Objects.requireNonNull(replacedSnapshot, "replacedSnapshot is null");
	}

	/**
	 * Returns the SHA-256 digest of a text.
	 * @param text the text
	 * @return the digest in hexadecimal digits
	 */
	static String digest(String text) {
		return DigestUtils.sha256Hex(text);
	}

	/**
	 * Returns the revision that consists of this header and a text.
	 * @param text the text of the revision
	 * @return the revision
	 */
	Revision toRevision(String text) {
		return new Revision(this.version, this.author, this.reason, this.acceptedAt, text);
	}

	/**
	 * Returns a one-line description for messages.
	 * @return the version, author, time and reason
	 */
	public String title() {
		return "version " + this.version + " by " + this.author + " at " + this.acceptedAt + " (" + this.reason + ")";
	}

}
