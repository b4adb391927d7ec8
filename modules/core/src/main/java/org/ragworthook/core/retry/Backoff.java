package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Spreads retries over a time that doubles from one to the next. Without the random part
 * all requests that failed together would come back together.
 */
public final class Backoff {

	private static final int MOST_DOUBLINGS = 20;

	private final long baseNanos;

	private final long mostNanos;

	private final Supplier<RandomGenerator> random;

	private Backoff(Duration base, Duration most, Supplier<RandomGenerator> random) {
		this.baseNanos = base.toNanos();
		this.mostNanos = most.toNanos();
		this.random = Objects.requireNonNull(random, "random is null");
	}

	/**
	 * Returns a back-off.
	 * @param base the longest delay of the first retry
	 * @param most the longest delay of any
	 * @param random gives the random numbers
	 * @return the back-off
	 */
	public static Backoff of(Duration base, Duration most, Supplier<RandomGenerator> random) {
		return new Backoff(base, most, random);
	}

	/**
	 * Returns how long to wait.
	 * @param retry which retry it is, from zero
	 * @return a time from zero to the bound of this retry
	 */
	public Duration delay(int retry) {
		long bound = Math.min(this.mostNanos, this.baseNanos << Math.min(Math.max(0, retry), MOST_DOUBLINGS));
		return Duration.ofNanos(this.random.get().nextLong(Math.max(1, bound)));
	}

}
