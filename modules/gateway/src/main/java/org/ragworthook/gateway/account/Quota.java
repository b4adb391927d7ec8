package org.ragworthook.gateway.account;

/**
 * The rate limit of an account, over all gateway instances together.
 *
 * @param perSecond requests a second, or 0 for no limit
 * @param burst requests that may exceed that rate at once
 */
public record Quota(double perSecond, double burst) {

	/** No limit. */
	public static final Quota UNLIMITED = new Quota(0, 0);

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if a value is negative or not a number
	 */
	public Quota {
		if (!(perSecond >= 0) || !(burst >= 0)) {
			throw new IllegalArgumentException("quota of " + perSecond + " requests a second with a burst of " + burst
					+ " is negative or not a number");
		}
	}

	/**
	 * Returns whether requests are limited.
	 * @return whether there is a rate limit
	 */
	public boolean limited() {
		return this.perSecond > 0;
	}

}
