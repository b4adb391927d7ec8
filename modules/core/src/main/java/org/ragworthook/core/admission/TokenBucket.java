package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.ragworthook.core.time.Ticker;

/**
 * Token bucket with a capacity of one second's tokens. The whole state is the time at
 * which the bucket would be full again, so that a single atomic long suffices.
 * Thread-safe.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long CAPACITY_NANOS = (long) NANOS_PER_SECOND;

	private final Ticker ticker;

	private final AtomicLong fullAtNanos;

	/** Nanoseconds in which one token is refilled; zero for no limit. */
	private volatile double refillNanos;

	private TokenBucket(Ticker ticker) {
		this.ticker = ticker;
		this.fullAtNanos = new AtomicLong(ticker.nanos());
	}

	/**
	 * Returns a bucket without a limit.
	 * @param ticker the monotonic clock
	 * @return a new bucket
	 */
	public static TokenBucket of(Ticker ticker) {
		return new TokenBucket(Objects.requireNonNull(ticker, "ticker is null"));
	}

	/**
	 * Sets the refill rate.
	 * @param perSecond tokens per second, or zero for no limit
	 */
	public void setRate(double perSecond) {
		this.refillNanos = (perSecond > 0) ? NANOS_PER_SECOND / perSecond : 0;
	}

	/**
	 * Takes one token if one is available.
	 * @return zero if a token was taken, else the time until one is available
	 */
	public Duration tryTake() {
		long refill = (long) this.refillNanos;
		while (refill > 0) {
			long now = this.ticker.nanos();
			long current = this.fullAtNanos.get();
			long next = Math.max(current - now, 0) + refill;
			// At a rate below one per second the capacity is one token.
			long missing = next - Math.max(CAPACITY_NANOS, refill);
			if (missing > 0) {
				return Duration.ofNanos(missing);
			}
			if (this.fullAtNanos.compareAndSet(current, now + next)) {
				return Duration.ZERO;
			}
		}
		return Duration.ZERO;
	}

	/**
	 * Takes tokens even if fewer are available; the bucket then stays empty until the
	 * difference has been refilled.
	 * @param tokens the number of tokens
	 */
	public void charge(int tokens) {
		long cost = (long) (tokens * this.refillNanos);
		if (cost > 0) {
			long now = this.ticker.nanos();
			this.fullAtNanos.updateAndGet((current) -> now + Math.max(current - now, 0) + cost);
		}
	}

	/**
	 * Returns how long the bucket stays empty.
	 * @return the time, or zero if a token is available
	 */
	public Duration timeUntilAvailable() {
		if (this.refillNanos == 0) {
			return Duration.ZERO;
		}
		long missing = this.fullAtNanos.get() - this.ticker.nanos() - CAPACITY_NANOS;
		return (missing > 0) ? Duration.ofNanos(missing) : Duration.ZERO;
	}

}
