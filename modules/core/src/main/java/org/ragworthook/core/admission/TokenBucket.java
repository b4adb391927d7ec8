package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.ragworthook.core.time.Ticker;

/**
 * A token bucket that holds one second's worth, kept as the time at which it would be
 * full again, so that one atomic number is all its state.
 */
public final class TokenBucket {

	private static final double NANOS = 1e9;

	private static final long BURST_NANOS = (long) NANOS;

	private final Ticker ticker;

	private final AtomicLong fullAt;

	/** Nanoseconds that one unit takes to come back; zero for no limit. */
	private volatile double unitNanos;

	private TokenBucket(Ticker ticker) {
		this.ticker = ticker;
		this.fullAt = new AtomicLong(ticker.nanos());
	}

	/**
	 * Returns a bucket without a limit.
	 * @param ticker the time
	 * @return a new bucket
	 */
	public static TokenBucket of(Ticker ticker) {
		return new TokenBucket(Objects.requireNonNull(ticker, "ticker is null"));
	}

	/**
	 * Sets the rate.
	 * @param perSecond units a second, or zero for no limit
	 */
	public void setRate(double perSecond) {
		this.unitNanos = (perSecond > 0) ? NANOS / perSecond : 0;
	}

	/**
	 * Takes one unit if there is one.
	 * @return zero if it was taken, else after which time there is one
	 */
	public Duration tryTake() {
		long unit = (long) this.unitNanos;
		while (unit > 0) {
			long now = this.ticker.nanos();
			long seen = this.fullAt.get();
			long next = Math.max(seen - now, 0) + unit;
			// A rate below one a second still lets a single unit through.
			long over = next - Math.max(BURST_NANOS, unit);
			if (over > 0) {
				return Duration.ofNanos(over);
			}
			if (this.fullAt.compareAndSet(seen, now + next)) {
				return Duration.ZERO;
			}
		}
		return Duration.ZERO;
	}

	/**
	 * Takes units even if there are not as many.
	 * @param units how many
	 */
	public void charge(int units) {
		long cost = (long) (units * this.unitNanos);
		if (cost > 0) {
			long now = this.ticker.nanos();
			this.fullAt.updateAndGet((seen) -> now + Math.max(seen - now, 0) + cost);
		}
	}

	/**
	 * Returns how long the bucket stays empty.
	 * @return zero if there is a unit in it
	 */
	public Duration timeUntilAvailable() {
		if (this.unitNanos == 0) {
			return Duration.ZERO;
		}
		long over = this.fullAt.get() - this.ticker.nanos() - BURST_NANOS;
		return (over > 0) ? Duration.ofNanos(over) : Duration.ZERO;
	}

}
