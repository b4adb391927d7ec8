package org.ragworthook.core.admission;

/**
 * How soon slots are expected to become free.
 *
 * @param slotsFreedPerSecond the observed rate at which requests end, per second, or 0 if
 * it is not known
 */
public record SlotForecast(double slotsFreedPerSecond) {

	private static final SlotForecast UNKNOWN = new SlotForecast(0);

	/**
	 * Checks the rate.
	 * @throws IllegalArgumentException if the rate is negative or not a number
	 */
	public SlotForecast {
		if (!(slotsFreedPerSecond >= 0)) {
			throw new IllegalArgumentException(
					"slotsFreedPerSecond is " + slotsFreedPerSecond + ", must be 0 or greater");
		}
	}

	/**
	 * Returns a forecast without a known rate.
	 * @return the forecast
	 */
	public static SlotForecast unknown() {
		return UNKNOWN;
	}

	/**
	 * Returns whether a rate was observed.
	 * @return whether the rate is greater than 0
	 */
	public boolean known() {
		return this.slotsFreedPerSecond > 0;
	}

}
