package org.ragworthook.gateway.demand;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Tells whether this process is behind with its work, and refuses the requests that it
 * could not serve on time. Used on the event loop.
 */
public final class EntryPressure {

	private static final EventLog LOG = EventLog.of(EntryPressure.class);

	private final LoopLag lag;

	private volatile Supplier<Duration> unwritten = () -> Duration.ZERO;

	/** The share of requests to refuse, summed until it makes up one request. */
	private double refusalsDue;

	private boolean wasBehind;

	private EntryPressure(LoopLag lag) {
		this.lag = lag;
	}

	/**
	 * Starts to measure the event loop's lag.
	 * @param ticker the monotonic clock
	 * @param timers schedules the measurements, on the event loop
	 * @return the pressure of this process
	 */
	public static EntryPressure start(Ticker ticker, Timers timers) {
		return new EntryPressure(LoopLag.start(ticker, timers));
	}

	/**
	 * Sets the source of how long caller connections hold unwritten bytes. A single
	 * caller that reads slowly does not put an entry behind, so the source states a time
	 * that most of the connections with unwritten bytes exceed.
	 * @param time returns the time, zero if nothing waits to be written
	 */
	public void unwrittenTime(Supplier<Duration> time) {
		this.unwritten = Objects.requireNonNull(time, "time is null");
	}

	/**
	 * Returns how long a request that is read now may have waited unread.
	 * @return the time, not negative
	 */
	public Duration unreadTime() {
		return this.lag.latest();
	}

	/**
	 * Returns how far this process is behind.
	 * @return how late the event loop runs, or how long caller connections hold unwritten
	 * bytes; zero if both are within their limits
	 */
	public Duration behind() {
		Duration loop = this.lag.smoothed();
		Duration writes = this.unwritten.get();
		Duration behindLoop = (loop.compareTo(RefusedShare.MAX_LAG) > 0) ? loop : Duration.ZERO;
		Duration behindWrites = (writes.compareTo(RefusedShare.MAX_UNWRITTEN) > 0) ? writes : Duration.ZERO;
		return (behindLoop.compareTo(behindWrites) > 0) ? behindLoop : behindWrites;
	}

	/**
	 * Returns whether this process is behind, and logs when that has changed.
	 * @return whether it is behind
	 */
	public boolean isBehind() {
		Duration behind = behind();
		if (this.wasBehind == behind.isZero()) {
			this.wasBehind = !this.wasBehind;
			LOG.info(this.wasBehind ? "behind" : "caught_up", "loop_ms", this.lag.smoothed().toMillis(), "unwritten_ms",
					this.unwritten.get().toMillis());
		}
		return this.wasBehind;
	}

	/**
	 * Decides whether to refuse a new online request.
	 * @param latencyTarget the target for the time from the request to its first event
	 * @param allowed the time that the caller allowed for the request when it sent it
	 * @return whether to refuse it, since this process cannot serve it on time
	 */
	public boolean refuses(Duration latencyTarget, Duration allowed) {
		Duration unread = unreadTime();
		if (unread.compareTo(RefusedShare.MAX_LAG) > 0 && unread.compareTo(allowed) >= 0) {
			return true;
		}
		double share = RefusedShare.of(this.lag.smoothed(), this.unwritten.get(), latencyTarget);
		this.refusalsDue = (share > 0) ? this.refusalsDue + share : 0;
		if (this.refusalsDue < 1) {
			return false;
		}
		this.refusalsDue -= 1;
		return true;
	}

}
