package org.ragworthook.gateway.demand;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Measures how late the event loop runs, by the delay of a periodic timer.
 * <p>
 * Answers a load of more requests than the processor of a small entry can handle: bytes
 * of callers wait unread in the kernel, which only the delay of the loop shows. Used on
 * the event loop.
 */
final class LoopLag {

	/**
	 * Short against the lag from which an entry refuses requests, 50 ms, so that the lag
	 * is known before it is reached.
	 */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

	/**
	 * Time constant of the smoothing, several iterations of a loop that runs late. With
	 * 100 ms, in place of 500 ms, the refusals of an entry with 2.5 times the load that
	 * it can handle oscillated: 47 requests per second were on time in place of 81.
	 */
	private static final double SMOOTHING_NANOS = 500_000_000;

	private final Ticker ticker;

	private final Timers timers;

	private long checkedNanos;

	/** Lag at the last check, in nanoseconds. */
	private long lastNanos;

	private double smoothedNanos;

	private LoopLag(Ticker ticker, Timers timers) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.checkedNanos = ticker.nanos();
	}

	/**
	 * Starts to measure.
	 * @param ticker the monotonic clock
	 * @param timers schedules the checks, on the event loop
	 * @return the measurement
	 */
	static LoopLag start(Ticker ticker, Timers timers) {
		LoopLag lag = new LoopLag(ticker, timers);
		timers.schedule(CHECK_INTERVAL, lag::check);
		return lag;
	}

	private void check() {
		long now = this.ticker.nanos();
		long lag = overdueNanos(now);
		double weight = 1 - Math.exp((this.checkedNanos - now) / SMOOTHING_NANOS);
		this.smoothedNanos += weight * (Math.min(lag, this.lastNanos) - this.smoothedNanos);
		this.lastNanos = lag;
		this.checkedNanos = now;
		this.timers.schedule(CHECK_INTERVAL, this::check);
	}

	private long overdueNanos(long now) {
		return Math.max(0, now - this.checkedNanos - CHECK_INTERVAL.toNanos());
	}

	/**
	 * Returns how long what the loop reads now may have waited unread: the delay of the
	 * last check, or that of the next one so far.
	 * @return the time, not negative
	 */
	Duration latest() {
		return Duration.ofNanos(Math.max(this.lastNanos, overdueNanos(this.ticker.nanos())));
	}

	/**
	 * Returns how late the loop runs over several checks. A single late check does not
	 * count: after a pause of the process or of its garbage collector the loop is on time
	 * again, and refusing requests would not help it.
	 * @return the smoothed lag, not negative
	 */
	Duration smoothed() {
		long sustained = Math.min(this.lastNanos, overdueNanos(this.ticker.nanos()));
		return Duration.ofNanos(Math.max((long) this.smoothedNanos, sustained));
	}

}
