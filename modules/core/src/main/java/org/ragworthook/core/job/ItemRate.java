package org.ragworthook.core.job;

import java.time.Duration;

/**
 * The rate at which the items of a shard end, smoothed over windows of 10 s.
 */
final class ItemRate {

	private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

	private long windowStart;

	private int count;

	private double perSecond;

	private boolean started;

	/**
	 * Counts an item that has ended.
	 * @param now the reading of the ticker, in nanoseconds
	 */
	void itemEnded(long now) {
		if (!this.started) {
			this.started = true;
			this.windowStart = now;
		}
		this.count++;
		update(now);
	}

	private void update(long now) {
		long span = now - this.windowStart;
		if (this.started && span >= WINDOW_NANOS) {
			double latest = this.count * (double) Duration.ofSeconds(1).toNanos() / span;
			this.perSecond = (this.perSecond == 0) ? latest : (this.perSecond + latest) / 2;
			this.windowStart = now;
			this.count = 0;
		}
	}

	/**
	 * Returns the rate.
	 * @param now the reading of the ticker, in nanoseconds
	 * @return items a second; 0 until the first window with an ended item is over
	 */
	double perSecond(long now) {
		update(now);
		return this.perSecond;
	}

}
