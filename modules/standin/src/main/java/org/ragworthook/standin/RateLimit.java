package org.ragworthook.standin;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.ragworthook.core.time.Ticker;

/**
 * A token bucket that holds one second's worth of calls. Used on one thread.
 */
public final class RateLimit {

	private final Ticker ticker;

	private double perSecond;

	private double tokens;

	private long filled;

	private RateLimit(double perSecond, Ticker ticker) {
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.filled = ticker.nanos();
	}

	/**
	 * Returns a full bucket.
	 * @param perSecond calls a second that it lets pass
	 * @param ticker the time
	 * @return a new bucket
	 */
	public static RateLimit of(double perSecond, Ticker ticker) {
		return new RateLimit(perSecond, ticker);
	}

	/**
	 * Sets another rate.
	 * @param rate calls a second from now on
	 */
	public void rate(double rate) {
		this.perSecond = rate;
		this.tokens = Math.min(this.tokens, rate);
	}

	/**
	 * Takes tokens, if there are enough.
	 * @param cost how many
	 * @return whether the call may pass
	 */
	public boolean tryTake(double cost) {
		long now = this.ticker.nanos();
		double gained = this.perSecond * (now - this.filled) / TimeUnit.SECONDS.toNanos(1);
		this.tokens = Math.min(this.perSecond, this.tokens + gained);
		this.filled = now;
		if (this.tokens < cost) {
			return false;
		}
		this.tokens -= cost;
		return true;
	}

	/**
	 * Returns how long it takes until as many tokens are there.
	 * @param cost how many
	 * @return seconds, at least 1
	 */
	public long secondsUntil(double cost) {
		return Math.max(1, (long) Math.ceil((cost - this.tokens) / Math.max(this.perSecond, 1e-9)));
	}

}
