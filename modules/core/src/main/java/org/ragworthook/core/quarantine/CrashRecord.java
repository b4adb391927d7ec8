package org.ragworthook.core.quarantine;

import java.util.Objects;

/**
 * The crashes caused by a request that was alone at the upstream.
 *
 * @param fingerprint the fingerprint of the request, equal for identical requests
 * @param crashes the number of upstreams that the request crashed
 * @param expiryMillis when the record expires, in milliseconds since the Unix epoch
 */
public record CrashRecord(String fingerprint, int crashes, long expiryMillis) {

	/**
	 * Checks that the fingerprint is present.
	 */
	public CrashRecord {
		Objects.requireNonNull(fingerprint, "fingerprint is null");
	}

	/**
	 * Merges the records of two entries. The operation is commutative, associative and
	 * idempotent, so the result does not depend on the order or number of merges.
	 * @param other another entry's record of the same request
	 * @return a record with the larger number of crashes and the later expiry
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
