package org.ragworthook.core.admission;

import java.time.Duration;

import org.ragworthook.core.time.Ticker;

/**
 * How many requests leave a queue a second, with the recent past weighing most.
 */
final class DrainRate {

	private static final double HALF_LIFE_NANOS = 2e9;

	private static final double MEAN_LIFE_SECONDS = HALF_LIFE_NANOS / 1e9 / Math.log(2);

	private static final Duration LEAST = Duration.ofMillis(50);

	private static final Duration MOST = Duration.ofSeconds(60);

	private final Ticker ticker;

	private double weight;

	private long since;

	private final long bornNanos;

	DrainRate(Ticker ticker) {
		this.ticker = ticker;
		this.since = ticker.nanos();
		this.bornNanos = this.since;
	}

	void left() {
		this.weight = decayed() + 1;
		this.since = this.ticker.nanos();
	}

	private double decayed() {
		return this.weight * Math.pow(0.5, (this.ticker.nanos() - this.since) / HALF_LIFE_NANOS);
	}

	double perSecond() {
		// Before a few half-lives have passed, the sum holds only part of a mean life.
		double age = (this.ticker.nanos() - this.bornNanos) / 1e9;
		double span = MEAN_LIFE_SECONDS * (1 - Math.exp(-age / MEAN_LIFE_SECONDS));
		return (span > 0) ? decayed() / span : 0;
	}

	/**
	 * Returns how long it takes until a number of requests have left.
	 * @param count the number
	 * @return the time, from 50 ms to a minute
	 */
	Duration time(int count) {
		double rate = perSecond();
		if (rate <= 0) {
			return (count == 0) ? LEAST : MOST;
		}
		Duration time = Duration.ofNanos((long) Math.min(MOST.toNanos(), count / rate * 1e9));
		return (time.compareTo(LEAST) < 0) ? LEAST : time;
	}

	boolean known() {
		return this.weight > 0;
	}

}
