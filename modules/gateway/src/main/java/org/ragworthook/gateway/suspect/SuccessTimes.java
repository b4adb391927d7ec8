package org.ragworthook.gateway.suspect;

import java.util.Arrays;
import java.util.Optional;

/**
 * When parts of prompts had their last complete response. Has a fixed size: a part
 * displaces the one of its bucket whose response is the oldest. Used on the event loop.
 */
final class SuccessTimes {

	private static final int BUCKETS = 1 << 13;

	private static final int BUCKET_SIZE = 8;

	/** Spreads keys, of which tests use small ones, over the buckets. */
	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private static final long NONE = Long.MIN_VALUE;

	private final long[] parts = new long[BUCKETS * BUCKET_SIZE];

	private final long[] nanos = new long[BUCKETS * BUCKET_SIZE];

	SuccessTimes() {
		Arrays.fill(this.nanos, NONE);
	}

	/**
	 * Adds a complete response; of several the last one counts.
	 * @param part the key of the part
	 * @param time when the response ended, as a reading of the ticker
	 */
	void add(long part, long time) {
		int oldest = start(part);
		for (int slot = start(part); slot < start(part) + BUCKET_SIZE; slot++) {
			if (this.nanos[slot] != NONE && this.parts[slot] == part) {
				this.nanos[slot] = Math.max(this.nanos[slot], time);
				return;
			}
			oldest = (this.nanos[slot] < this.nanos[oldest]) ? slot : oldest;
		}
		if (this.nanos[oldest] < time) {
			this.parts[oldest] = part;
			this.nanos[oldest] = time;
		}
	}

	/**
	 * Returns when a part had its last complete response.
	 * @param part the key of the part
	 * @return a reading of the ticker, or empty if none is known
	 */
	Optional<Long> last(long part) {
		for (int slot = start(part); slot < start(part) + BUCKET_SIZE; slot++) {
			if (this.nanos[slot] != NONE && this.parts[slot] == part) {
				return Optional.of(this.nanos[slot]);
			}
		}
		return Optional.empty();
	}

	private static int start(long part) {
		return (int) ((part * MULTIPLIER) >>> (Long.SIZE - Integer.numberOfTrailingZeros(BUCKETS))) * BUCKET_SIZE;
	}

}
