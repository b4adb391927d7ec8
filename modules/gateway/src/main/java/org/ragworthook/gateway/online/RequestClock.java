package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;

/**
 * Records the times of one request: its arrival, the start of its response and the last
 * activity of its upstream. Used on the event loop.
 */
final class RequestClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Share of the latency target within which a request has to be sent; the rest is left
	 * for its first event.
	 */
	private static final double SEND_SHARE = 0.75;

	private final Ticker ticker;

	private final long arrivalNanos;

	private long firstByteNanos;

	private long lastActivityNanos;

	RequestClock(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.arrivalNanos = ticker.nanos();
	}

	/**
	 * Records that the request was sent, or that bytes of its response arrived.
	 * @return the ticker's reading
	 */
	long recordActivity() {
		this.lastActivityNanos = this.ticker.nanos();
		return this.lastActivityNanos;
	}

	/**
	 * Records that the response began with the last activity.
	 */
	void firstByte() {
		this.firstByteNanos = this.lastActivityNanos;
	}

	/**
	 * Returns when the request was sent, or when bytes of its response arrived last.
	 * @return the ticker's reading
	 */
	long lastActivityNanos() {
		return this.lastActivityNanos;
	}

	/**
	 * Returns by when the request has to be sent to a free slot to meet its latency
	 * target.
	 * @param target the time from arrival to the start of the response that is aimed at
	 * @return the ticker's reading
	 */
	long sendTargetNanos(Duration target) {
		return this.arrivalNanos + (long) (target.toNanos() * SEND_SHARE);
	}

	/**
	 * Returns the time from the request's arrival to the start of its response.
	 * @return milliseconds, or -1 if the response has not begun
	 */
	long firstByteMillis() {
		return (this.firstByteNanos != 0) ? (this.firstByteNanos - this.arrivalNanos) / NANOS_PER_MILLI : -1;
	}

	/**
	 * Returns the time since the request's arrival.
	 * @return milliseconds
	 */
	long ageMillis() {
		return (this.ticker.nanos() - this.arrivalNanos) / NANOS_PER_MILLI;
	}

}
