package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.Objects;

/**
 * How a lease on the configuration is kept.
 *
 * @param validity how long after a confirmation the keys may be relied on
 * @param renewalAge the age of a confirmation at which the next one is asked for
 * @param retryDelay the pause between two checks while they fail
 * @param maxWait how long a request may wait for a check
 */
public record LeaseTerms(Duration validity, Duration renewalAge, Duration retryDelay, Duration maxWait) {

	/** Share of the bound that is used, the rest being left to clocks that run apart. */
	private static final double VALID = 0.9;

	/** Leaves half of the validity and more for checks that fail or are lost. */
	private static final double RENEWED = 0.4;

	/** Part of the validity in which the checks of all processes are spread. */
	private static final double SPREAD = 0.2;

	private static final Duration RETRY = Duration.ofMillis(250);

	private static final Duration MAX_WAIT = Duration.ofMillis(250);

	/**
	 * Checks the values.
	 */
	public LeaseTerms {
		Objects.requireNonNull(validity, "validity is null");
		Objects.requireNonNull(renewalAge, "renewalAge is null");
		Objects.requireNonNull(retryDelay, "retryDelay is null");
		Objects.requireNonNull(maxWait, "maxWait is null");
	}

	/**
	 * Returns the terms that keep a bound on revocation.
	 * @param bound how long after its revocation a key may still be accepted
	 * @return the terms
	 */
	public static LeaseTerms ofRevocationBound(Duration bound) {
		return new LeaseTerms(share(bound, VALID), share(bound, RENEWED), RETRY, MAX_WAIT);
	}

	/**
	 * Returns the age of a confirmation at which this process asks for the next one.
	 * @param draw a number from 0 to below 1
	 * @return the renewal, or up to a fifth of the validity more
	 */
	Duration renewalAge(double draw) {
		return this.renewalAge.plus(share(this.validity, SPREAD * draw));
	}

	private static Duration share(Duration bound, double share) {
		return Duration.ofNanos((long) (bound.toNanos() * share));
	}

}
