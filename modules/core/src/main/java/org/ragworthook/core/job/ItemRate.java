package org.ragworthook.core.job;

import java.time.Duration;

/**
 * How many items a shard ends in a second, smoothed.
 */
final class ItemRate {

	private static final long SPAN = Duration.ofSeconds(10).toNanos();

	private long since;

	private int count;

	private double perSecond;

	private boolean begun;

	/**
	 * Notes that an item has ended.
	 * @param now the ticker's reading
	 */
	void mark(long now) {
		if (!this.begun) {
			this.begun = true;
			this.since = now;
		}
		this.count++;
		settle(now);
	}

	private void settle(long now) {
		long span = now - this.since;
		if (this.begun && span >= SPAN) {
			double latest = this.count * (double) Duration.ofSeconds(1).toNanos() / span;
			this.perSecond = (this.perSecond == 0) ? latest : (this.perSecond + latest) / 2;
			this.since = now;
			this.count = 0;
		}
	}

	/**
	 * Returns the pace.
	 * @param now the ticker's reading
	 * @return items a second; 0 as long as nothing is known
	 */
	double perSecond(long now) {
		settle(now);
		return this.perSecond;
	}

}
