package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import org.ragworthook.core.time.Ticker;

/**
 * How many requests end a second, with the recent past weighing most. Any number of
 * threads may count.
 */
final class DrainRate {

	private static final double HALF_LIFE_NANOS = 5e9;

	private static final double MEAN_LIFE_SECONDS = HALF_LIFE_NANOS / 1e9 / Math.log(2);

	private static final double LEAST_WEIGHT = 4;

	private static final Duration LEAST = Duration.ofMillis(50);

	private static final Duration UNKNOWN = Duration.ofSeconds(1);

	private static final Duration MOST = Duration.ofSeconds(60);

	private final Ticker ticker;

	private final AtomicReference<State> state;

	DrainRate(Ticker ticker) {
		this.ticker = ticker;
		this.state = new AtomicReference<>(new State(0, 0, ticker.nanos()));
	}

	void ended() {
		long now = this.ticker.nanos();
		this.state.updateAndGet((old) -> old.at(now).plusOne());
	}

	private double perSecond() {
		State now = this.state.get().at(this.ticker.nanos());
		// Before a few half-lives have passed, the sum holds only part of a mean life.
		return (now.span() > 0) ? now.weight() / (MEAN_LIFE_SECONDS * now.span()) : 0;
	}

	/**
	 * Returns how long it takes until a number of requests have ended.
	 * @param count the number
	 * @return the time, from 50 ms to a minute
	 */
	Duration time(int count) {
		if (!known()) {
			return UNKNOWN;
		}
		Duration time = Duration.ofNanos((long) Math.min(MOST.toNanos(), count / perSecond() * 1e9));
		return (time.compareTo(LEAST) < 0) ? LEAST : time;
	}

	/**
	 * Tells whether enough requests have ended lately to say how fast they do.
	 * @return whether the time is more than a guess
	 */
	boolean known() {
		return this.state.get().at(this.ticker.nanos()).weight() >= LEAST_WEIGHT;
	}

	/**
	 * What has been counted up to a moment.
	 *
	 * @param weight requests, each worth half after a half-life
	 * @param span the share of a mean life over which they were counted, up to one
	 * @param nanos the moment
	 */
	private record State(double weight, double span, long nanos) {

		private State at(long now) {
			double decay = Math.pow(0.5, Math.max(0, now - this.nanos) / HALF_LIFE_NANOS);
			return new State(this.weight * decay, 1 - (1 - this.span) * decay, Math.max(now, this.nanos));
		}

		private State plusOne() {
			return new State(this.weight + 1, this.span, this.nanos);
		}

	}

}
