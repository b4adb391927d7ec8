package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;

/**
 * The times of one request: when it came, when its answer began and when its upstream was
 * heard last. Used on the event loop.
 */
final class RequestClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Share of the goal within which a request has to be sent to be in time: the rest is
	 * for the ways and the first event of an engine that has a slot free.
	 */
	private static final double GOAL_TO_SEND = 0.75;

	private final Ticker ticker;

	private final long begunNanos;

	private long firstByteNanos;

	private long heardNanos;

	RequestClock(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.begunNanos = ticker.nanos();
	}

	/**
	 * Learns that the upstream was sent the request or was heard of it.
	 * @return the ticker's reading
	 */
	long heard() {
		this.heardNanos = this.ticker.nanos();
		return this.heardNanos;
	}

	/**
	 * Learns that the answer begins with what was heard last.
	 */
	void answerBegins() {
		this.firstByteNanos = this.heardNanos;
	}

	/**
	 * Returns when the upstream was sent the request or was heard of it last.
	 * @return the ticker's reading
	 */
	long heardNanos() {
		return this.heardNanos;
	}

	/**
	 * Returns until when the request has to be sent to a free slot to be in time.
	 * @param goal how soon its answer is to begin
	 * @return the ticker's reading
	 */
	long sendGoalNanos(Duration goal) {
		return this.begunNanos + (long) (goal.toNanos() * GOAL_TO_SEND);
	}

	/**
	 * Returns how long after the request its answer began.
	 * @return milliseconds, or -1 if it has not begun
	 */
	long firstByteMillis() {
		return (this.firstByteNanos != 0) ? (this.firstByteNanos - this.begunNanos) / NANOS_PER_MILLI : -1;
	}

	/**
	 * Returns how long ago the request came.
	 * @return milliseconds
	 */
	long ageMillis() {
		return (this.ticker.nanos() - this.begunNanos) / NANOS_PER_MILLI;
	}

}
