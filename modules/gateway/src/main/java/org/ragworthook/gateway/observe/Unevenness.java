package org.ragworthook.gateway.observe;

import java.time.Duration;

/**
 * Decides whether the upstreams of a service differ so much in speed that requests are
 * placed by expected time. A ratio of 1.5 between the slowest and the fastest, and a
 * difference of 2 ms, have to hold for 2 s, since an upstream that is slow for a moment
 * is no state of the fleet.
 */
final class Unevenness {

	/** Ratio of the slowest and the fastest gap from which upstreams are uneven. */
	private static final double UNEVEN_RATIO = 1.5;

	/** Ratio below which they are even again, so that noise does not change the state. */
	private static final double EVEN_RATIO = 1.4;

	/**
	 * Difference in microseconds from which upstreams are uneven. Less is within the time
	 * by which this process is late to read.
	 */
	private static final double UNEVEN_MICROS = 2_000;

	/** Difference below which they are even again. */
	private static final double EVEN_MICROS = 1_500;

	private static final long MIN_DURATION_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long NEVER = Long.MIN_VALUE;

	private boolean uneven;

	/** Since when the ratio calls for the other state. */
	private long changeSinceNanos = NEVER;

	/**
	 * Records the fastest and the slowest gap.
	 * @param nowNanos the ticker's reading
	 * @param fastestMicros the fastest gap in microseconds
	 * @param slowestMicros the slowest gap in microseconds
	 * @return whether the state has changed
	 */
	boolean update(long nowNanos, double fastestMicros, double slowestMicros) {
		boolean wanted = slowestMicros >= fastestMicros * (this.uneven ? EVEN_RATIO : UNEVEN_RATIO)
				&& slowestMicros - fastestMicros >= (this.uneven ? EVEN_MICROS : UNEVEN_MICROS);
		if (wanted == this.uneven) {
			this.changeSinceNanos = NEVER;
			return false;
		}
		if (this.changeSinceNanos == NEVER) {
			this.changeSinceNanos = nowNanos;
		}
		if (nowNanos - this.changeSinceNanos < MIN_DURATION_NANOS) {
			return false;
		}
		this.changeSinceNanos = NEVER;
		this.uneven = wanted;
		return true;
	}

	boolean uneven() {
		return this.uneven;
	}

}
