package org.ragworthook.standin.load;

import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Arrival times of independent callers: a Poisson process from a seed.
 */
public final class Arrivals {

	private final Random random;

	private final double perSecond;

	private Arrivals(double perSecond, long seed) {
		if (perSecond <= 0) {
			throw new IllegalArgumentException("rate " + perSecond + " is not positive");
		}
		this.perSecond = perSecond;
		this.random = new Random(seed);
	}

	/**
	 * Returns a process.
	 * @param perSecond mean arrivals a second
	 * @param seed makes the run repeatable
	 * @return a new process
	 */
	public static Arrivals of(double perSecond, long seed) {
		return new Arrivals(perSecond, seed);
	}

	/**
	 * Returns the time until the next arrival.
	 * @return nanoseconds
	 */
	public long nextGapNanos() {
		double seconds = -Math.log(1 - this.random.nextDouble()) / this.perSecond;
		return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
	}

}
