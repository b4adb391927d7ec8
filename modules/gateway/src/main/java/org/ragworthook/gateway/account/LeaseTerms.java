package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.Objects;

/**
 * The durations of a {@link ConfigurationLease}.
 *
 * @param validity how long after a confirmation the keys may be relied on
 * @param renewalAge the age of a confirmation from which use of the lease starts a check
 * @param retryDelay the minimum time between two checks while checks fail
 * @param maxWait how long a request may wait for a check
 */
public record LeaseTerms(Duration validity, Duration renewalAge, Duration retryDelay, Duration maxWait) {

	/**
	 * Validity as a fraction of the revocation bound; the rest allows for clock drift.
	 */
	private static final double VALIDITY_FRACTION = 0.9;

	/**
	 * Renewal age as a fraction of the revocation bound, which leaves more than half of
	 * the validity for retrying checks that fail or are lost.
	 */
	private static final double RENEWAL_FRACTION = 0.4;

	/** Fraction of the validity over which the checks of all processes are spread. */
	private static final double JITTER_FRACTION = 0.2;

	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	private static final Duration MAX_WAIT = Duration.ofMillis(250);

	/** Checks the components. */
	public LeaseTerms {
		Objects.requireNonNull(validity, "validity is null");
		Objects.requireNonNull(renewalAge, "renewalAge is null");
		Objects.requireNonNull(retryDelay, "retryDelay is null");
		Objects.requireNonNull(maxWait, "maxWait is null");
	}

	/**
	 * Returns terms under which a revoked key is rejected within a given time.
	 * @param bound how long after its revocation a key may still be accepted
	 * @return the terms
	 */
	public static LeaseTerms ofRevocationBound(Duration bound) {
		return new LeaseTerms(fraction(bound, VALIDITY_FRACTION), fraction(bound, RENEWAL_FRACTION), RETRY_DELAY,
				MAX_WAIT);
	}

	/**
	 * Returns the renewal age with random jitter.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the renewal age plus up to a fifth of the validity
	 */
	Duration renewalAge(double draw) {
		return this.renewalAge.plus(fraction(this.validity, JITTER_FRACTION * draw));
	}

	private static Duration fraction(Duration duration, double fraction) {
		return Duration.ofNanos((long) (duration.toNanos() * fraction));
	}

}
