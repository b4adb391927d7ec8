package org.ragworthook.core.quarantine;

import java.util.Objects;

/**
 * What is known of a request that crashed upstreams with nothing beside it.
 *
 * @param fingerprint the same for requests that are the same
 * @param crashes how many upstreams it crashed
 * @param expiryMillis until when this counts, as Unix time in milliseconds
 */
public record CrashRecord(String fingerprint, int crashes, long expiryMillis) {

	/**
	 * Checks the fingerprint.
	 */
	public CrashRecord {
		Objects.requireNonNull(fingerprint, "fingerprint is null");
	}

	/**
	 * Merges what two entries know. In whatever order and however often the same is
	 * merged, the result is the same.
	 * @param other what is known elsewhere of the same request
	 * @return the larger number of crashes and the later time
	 */
	public CrashRecord merge(CrashRecord other) {
		if (!this.fingerprint.equals(other.fingerprint)) {
			throw new IllegalArgumentException(
					"fingerprints " + this.fingerprint + " and " + other.fingerprint + " differ");
		}
		return new CrashRecord(this.fingerprint, Math.max(this.crashes, other.crashes),
				Math.max(this.expiryMillis, other.expiryMillis));
	}

}
