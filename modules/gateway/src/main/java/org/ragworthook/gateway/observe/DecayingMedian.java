package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * The usual value of a quantity over the last seconds: the median of the means of up to
 * eight periods of half a second in which something was observed. Not thread-safe.
 * <p>
 * A lasting change shows after four periods, 2 s of traffic; a shorter one does not.
 * Means are taken within a period since events that arrive together have gaps of 0 after
 * a long one, which a median of gaps would not balance.
 */
final class DecayingMedian {

	private static final int PERIODS = 8;

	private static final long PERIOD_NANOS = Duration.ofMillis(500).toNanos();

	/** Age from which a period no longer counts, in periods: 10 s. */
	private static final int MAX_AGE_PERIODS = 20;

	private final float[] sums = new float[PERIODS];

	private final int[] counts = new int[PERIODS];

	/** Numbers of the periods, which may wrap around. */
	private final int[] periods = new int[PERIODS];

	private int newest;

	/**
	 * Adds a value.
	 * @param nowNanos the ticker's reading
	 * @param value the value, in the unit of the quantity
	 */
	void record(long nowNanos, double value) {
		int period = period(nowNanos);
		if (this.counts[this.newest] > 0 && this.periods[this.newest] != period) {
			this.newest = (this.newest + 1) % PERIODS;
			this.sums[this.newest] = 0;
			this.counts[this.newest] = 0;
		}
		this.periods[this.newest] = period;
		this.sums[this.newest] += (float) value;
		this.counts[this.newest]++;
	}

	/**
	 * Returns the number of values that count.
	 * @param nowNanos the ticker's reading
	 * @return the number of values in the periods of the last 10 s
	 */
	int samples(long nowNanos) {
		int samples = 0;
		for (int i = 0; i < PERIODS; i++) {
			samples += counts(i, nowNanos) ? this.counts[i] : 0;
		}
		return samples;
	}

	/**
	 * Returns the periods of the last 10 s in which something was recorded.
	 * @param nowNanos the ticker's reading
	 * @return a bit for each period, by its age
	 */
	int recordedPeriods(long nowNanos) {
		int recorded = 0;
		for (int i = 0; i < PERIODS; i++) {
			if (counts(i, nowNanos)) {
				recorded |= 1 << Math.max(0, period(nowNanos) - this.periods[i]);
			}
		}
		return recorded;
	}

	/**
	 * Returns the usual value.
	 * @param nowNanos the ticker's reading
	 * @return the median, or empty if nothing was recorded within 10 s
	 */
	OptionalDouble median(long nowNanos) {
		double[] means = new double[PERIODS];
		int size = 0;
		for (int i = 0; i < PERIODS; i++) {
			if (counts(i, nowNanos)) {
				means[size++] = this.sums[i] / this.counts[i];
			}
		}
		return median(Arrays.copyOf(means, size));
	}

	private boolean counts(int index, long nowNanos) {
		return this.counts[index] > 0 && period(nowNanos) - this.periods[index] < MAX_AGE_PERIODS;
	}

	private static int period(long nanos) {
		return (int) Math.floorDiv(nanos, PERIOD_NANOS);
	}

	/**
	 * Returns the median of some values.
	 * @param values the values, in any order; sorted in place
	 * @return the median, or empty if there is no value
	 */
	static OptionalDouble median(double[] values) {
		if (values.length == 0) {
			return OptionalDouble.empty();
		}
		Arrays.sort(values);
		return OptionalDouble.of((values[(values.length - 1) / 2] + values[values.length / 2]) / 2);
	}

}
