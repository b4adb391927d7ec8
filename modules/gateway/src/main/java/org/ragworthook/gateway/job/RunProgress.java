package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * The progress of one run of an item, and its pace. Progress is the start of the response
 * and each new numbered event. Other bytes are none: an upstream that has lost an item
 * may still send comments or the body of an error.
 */
final class RunProgress {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * The most time without progress that counts between two readings: twice their usual
	 * interval. After a longer one, this process was paused, and what the upstream has
	 * sent since may still be unread.
	 */
	private static final long MAX_COUNTED_NANOS = Duration.ofMillis(200).toNanos();

	private final long startedNanos;

	private boolean responded;

	private long headNanos;

	private int events;

	private long firstEventNanos;

	private long lastEventNanos;

	private long silentNanos;

	private long readNanos;

	RunProgress(long startedNanos) {
		this.startedNanos = startedNanos;
		this.readNanos = startedNanos;
	}

	/**
	 * Called when the response has begun.
	 * @param nowNanos the ticker's reading
	 */
	void head(long nowNanos) {
		this.responded = true;
		this.headNanos = nowNanos;
		progressed(nowNanos);
	}

	/**
	 * Called when a new numbered event was received.
	 * @param nowNanos the ticker's reading
	 */
	void event(long nowNanos) {
		if (this.events == 0) {
			this.firstEventNanos = nowNanos;
		}
		this.events++;
		this.lastEventNanos = nowNanos;
		progressed(nowNanos);
	}

	private void progressed(long nowNanos) {
		this.silentNanos = 0;
		this.readNanos = nowNanos;
	}

	/**
	 * Returns the time without progress. Must be called regularly, since the time between
	 * two calls counts only in part if it is long.
	 * @param nowNanos the ticker's reading
	 * @return the time, as far as this process was able to notice progress
	 */
	Duration silence(long nowNanos) {
		this.silentNanos += Math.min(nowNanos - this.readNanos, MAX_COUNTED_NANOS);
		this.readNanos = nowNanos;
		return Duration.ofNanos(this.silentNanos);
	}

	/**
	 * Returns the number of new events.
	 * @return the numbered events that the run has added to the item
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the usual time between two events of the run.
	 * @return the mean in milliseconds, or empty before the second event
	 */
	OptionalDouble gapMillis() {
		return (this.events < 2) ? OptionalDouble.empty()
				: OptionalDouble.of((this.lastEventNanos - this.firstEventNanos) / NANOS_PER_MILLI / (this.events - 1));
	}

	/**
	 * Returns the time from the start of the run to that of its response.
	 * @return milliseconds, or empty before the response
	 */
	OptionalDouble headMillis() {
		return this.responded ? OptionalDouble.of((this.headNanos - this.startedNanos) / NANOS_PER_MILLI)
				: OptionalDouble.empty();
	}

}
