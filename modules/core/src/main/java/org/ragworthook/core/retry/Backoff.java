package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter. Without jitter, requests that failed together
 * would be retried together.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 20;

	private final long baseNanos;

	private final long maxNanos;

	private final Supplier<RandomGenerator> random;

	private Backoff(Duration base, Duration max, Supplier<RandomGenerator> random) {
		this.baseNanos = base.toNanos();
		this.maxNanos = max.toNanos();
		this.random = Objects.requireNonNull(random, "random is null");
	}

	/**
	 * Returns a backoff.
	 * @param base the maximum delay of the first retry
	 * @param max the maximum delay of any retry
	 * @param random supplies the random generator
	 * @return the backoff
	 */
	public static Backoff of(Duration base, Duration max, Supplier<RandomGenerator> random) {
		return new Backoff(base, max, random);
	}

	/**
	 * Returns the delay before a retry.
	 * @param retry the number of the retry, from zero
	 * @return a random delay between zero and the maximum for this retry
	 */
	public Duration delay(int retry) {
		long boundNanos = Math.min(this.maxNanos, this.baseNanos << Math.min(Math.max(0, retry), MAX_DOUBLINGS));
		return Duration.ofNanos(this.random.get().nextLong(Math.max(1, boundNanos)));
	}

}
