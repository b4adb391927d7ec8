package org.ragworthook.gateway.demand;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The online requests in progress at a service over the last 20 s, and the rises from
 * their valley to their peak. Not thread-safe.
 */
final class DemandHistory {

	/** Interval of the samples: that of the reports from which they are counted. */
	static final Duration SAMPLE_INTERVAL = Duration.ofMillis(100);

	/** 20 s, which contain two rises if the period is up to 10 s. */
	private static final int MAX_SAMPLES = 200;

	/**
	 * Samples that are averaged. Reports from different processes arrive up to 0.1 s
	 * apart, and a single lost one changes the count until the next.
	 */
	private static final int AVERAGED_SAMPLES = 3;

	/** Part of the way from valley to peak below which demand counts as low. */
	private static final double LOW = 0.25;

	/** Part of the way from valley to peak above which demand counts as high. */
	private static final double HIGH = 0.75;

	private final List<Sample> samples = new ArrayList<>();

	private final List<Integer> recentCounts = new ArrayList<>();

	/**
	 * Adds a sample.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param online the online requests in progress
	 */
	void add(long nowNanos, int online) {
		this.recentCounts.add(online);
		if (this.recentCounts.size() > AVERAGED_SAMPLES) {
			this.recentCounts.remove(0);
		}
		double mean = this.recentCounts.stream().mapToInt(Integer::intValue).average().orElse(0);
		this.samples.add(new Sample(nowNanos, mean));
		if (this.samples.size() > MAX_SAMPLES) {
			this.samples.remove(0);
		}
	}

	/**
	 * Returns the recent peak.
	 * @return online requests in progress
	 */
	double peak() {
		return this.samples.stream().mapToDouble(Sample::online).max().orElse(0);
	}

	/**
	 * Returns the recent valley.
	 * @return online requests in progress
	 */
	double valley() {
		return this.samples.stream().mapToDouble(Sample::online).min().orElse(0);
	}

	/**
	 * Returns the rises from low to high demand.
	 * @return the rises in order of time
	 */
	List<Rise> rises() {
		double valley = valley();
		double low = valley + LOW * (peak() - valley);
		double high = valley + HIGH * (peak() - valley);
		List<Rise> rises = new ArrayList<>();
		long lowNanos = 0;
		boolean rising = false;
		for (Sample sample : this.samples) {
			if (sample.online <= low) {
				lowNanos = sample.nanos;
				rising = true;
			}
			else if (rising && sample.online >= high) {
				rising = false;
				long halfNanos = sample.nanos - lowNanos;
				rises.add(new Rise(lowNanos - halfNanos / 2, 2 * halfNanos));
			}
		}
		return rises;
	}

	/**
	 * Returns the median of some values.
	 * @param values the values, at least one
	 * @return the median, the smaller one of two
	 */
	static long median(List<Long> values) {
		List<Long> sorted = new ArrayList<>(values);
		Collections.sort(sorted);
		return sorted.get((sorted.size() - 1) / 2);
	}

	/**
	 * A rise from the valley to the peak, as extrapolated from its middle part.
	 *
	 * @param startNanos when it began, a reading of the ticker
	 * @param nanos how long it took
	 */
	record Rise(long startNanos, long nanos) {
	}

	private record Sample(long nanos, double online) {
	}

}
