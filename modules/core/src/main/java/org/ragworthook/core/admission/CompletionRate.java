package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import org.ragworthook.core.time.Ticker;

/**
 * Exponentially weighted rate at which requests end. Thread-safe.
 */
final class CompletionRate {

	private static final double HALF_LIFE_NANOS = 5e9;

	private static final double MEAN_LIFE_SECONDS = HALF_LIFE_NANOS / 1e9 / Math.log(2);

	private static final double MIN_WEIGHT = 4;

	private static final Duration MIN_TIME = Duration.ofMillis(50);

	private static final Duration DEFAULT_TIME = Duration.ofSeconds(1);

	private static final Duration MAX_TIME = Duration.ofSeconds(60);

	private final Ticker ticker;

	private final AtomicReference<State> state;

	CompletionRate(Ticker ticker) {
		this.ticker = ticker;
		this.state = new AtomicReference<>(new State(0, 0, ticker.nanos()));
	}

	void recordEnd() {
		long now = this.ticker.nanos();
		this.state.updateAndGet((old) -> old.at(now).plusOne());
	}

	private double perSecond() {
		State now = this.state.get().at(this.ticker.nanos());
		// In the first few half-lives the sum covers only part of a mean life.
		return (now.coverage() > 0) ? now.weight() / (MEAN_LIFE_SECONDS * now.coverage()) : 0;
	}

	/**
	 * Estimates how long it takes until a number of requests have ended.
	 * @param count the number of requests
	 * @return the estimate, from 50 ms to one minute; one second if the rate is not known
	 */
	Duration timeFor(int count) {
		if (!known()) {
			return DEFAULT_TIME;
		}
		Duration time = Duration.ofNanos((long) Math.min(MAX_TIME.toNanos(), count / perSecond() * 1e9));
		return (time.compareTo(MIN_TIME) < 0) ? MIN_TIME : time;
	}

	/**
	 * Returns whether enough requests have ended recently to estimate the rate.
	 * @return whether {@link #timeFor(int)} is based on observations
	 */
	boolean known() {
		return this.state.get().at(this.ticker.nanos()).weight() >= MIN_WEIGHT;
	}

	/**
	 * The weighted count at one moment.
	 *
	 * @param weight the number of ended requests, each weighted by half per half-life
	 * passed
	 * @param coverage the part of a mean life over which requests were counted, from zero
	 * to one
	 * @param nanos the ticker's reading at that moment
	 */
	private record State(double weight, double coverage, long nanos) {

		private State at(long now) {
			double decay = Math.pow(0.5, Math.max(0, now - this.nanos) / HALF_LIFE_NANOS);
			return new State(this.weight * decay, 1 - (1 - this.coverage) * decay, Math.max(now, this.nanos));
		}

		private State plusOne() {
			return new State(this.weight + 1, this.coverage, this.nanos);
		}

	}

}
