package org.ragworthook.gateway.demand;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.ragworthook.gateway.demand.DemandHistory.Rise;

/**
 * Forecasts the next rise of the online demand of one service from its recent rises, and
 * how many slots batch items have to leave free for it. Not thread-safe.
 * <p>
 * Answers a demand that alternates between a valley and a peak several times as high, as
 * 0.38 and 1.87 of the mean by turns: items that start shortly before a rise are
 * preempted by it, and their tokens are computed again. Demand is counted in online
 * requests in progress, which the reports contain, since these are the slots that it
 * needs; the arrivals per second are this number divided by the duration of a request.
 */
final class DemandForecast {

	/**
	 * Peak and valley that differ by less count as steady demand, which the headroom of
	 * {@link org.ragworthook.gateway.upstream.SlotSharing} covers.
	 */
	private static final double MIN_SWING = 3;

	/**
	 * By how many standard deviations of the peak, if requests arrive at random, peak and
	 * valley have to differ: a few requests differ by a factor of 3 by chance.
	 */
	private static final double MIN_DEVIATIONS = 4;

	/** Longest interval between rises as a multiple of the shortest one. */
	private static final double MAX_PERIOD_RATIO = 1.5;

	/**
	 * Part of the period by which a rise may be late. Later, the period is no longer
	 * valid, and no slots are left free for it.
	 */
	private static final double MAX_DELAY = 0.25;

	private final DemandHistory history = new DemandHistory();

	private final long usefulRunNanos;

	private Optional<Swing> swing = Optional.empty();

	/**
	 * Creates a forecast without observations.
	 * @param usefulRunNanos how long an item has to run at least until it is preempted,
	 * for its start to be useful
	 */
	DemandForecast(long usefulRunNanos) {
		this.usefulRunNanos = usefulRunNanos;
	}

	/**
	 * Adds an observation.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param online the online requests in progress
	 */
	void observe(long nowNanos, int online) {
		this.history.add(nowNanos, online);
		this.swing = findSwing(nowNanos);
	}

	private Optional<Swing> findSwing(long nowNanos) {
		double peak = this.history.peak();
		double valley = this.history.valley();
		if (peak < MIN_SWING * Math.max(1, valley) || peak - valley < MIN_DEVIATIONS * Math.sqrt(peak)) {
			return Optional.empty();
		}
		List<Rise> rises = this.history.rises();
		if (rises.size() < 2) {
			return Optional.empty();
		}
		List<Long> intervals = new ArrayList<>();
		for (int i = 1; i < rises.size(); i++) {
			intervals.add(rises.get(i).startNanos() - rises.get(i - 1).startNanos());
		}
		long shortest = intervals.stream().mapToLong(Long::longValue).min().getAsLong();
		long longest = intervals.stream().mapToLong(Long::longValue).max().getAsLong();
		long period = DemandHistory.median(intervals);
		long lastNanos = rises.get(rises.size() - 1).startNanos();
		if (longest > MAX_PERIOD_RATIO * shortest || nowNanos - lastNanos > (1 + MAX_DELAY) * period) {
			return Optional.empty();
		}
		return Optional.of(new Swing(peak, valley, lastNanos, period,
				DemandHistory.median(rises.stream().map(Rise::nanos).toList())));
	}

	/**
	 * Returns the alternation of demand.
	 * @return the alternation, or empty if demand is steady or has no known period
	 */
	Optional<Swing> swing() {
		return this.swing;
	}

	/**
	 * Returns how many free slots batch items have to leave to online requests: those
	 * that a rise needs until an item that starts now has run for a useful time.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param online the online requests in progress
	 * @return the number of slots; 0 if demand is steady or no rise is near
	 */
	int slotsForRise(long nowNanos, int online) {
		if (this.swing.isEmpty()) {
			return 0;
		}
		Swing known = this.swing.get();
		long sinceLast = nowNanos - known.lastRiseNanos;
		long untilEnd = nowNanos + this.usefulRunNanos - known.lastRiseNanos;
		double expected = (sinceLast <= known.riseNanos) ? known.at(untilEnd) : known.at(untilEnd - known.periodNanos);
		return Math.max(0, (int) Math.ceil(expected - Math.max(online, known.valley)));
	}

	/**
	 * An alternation of demand between a valley and a peak.
	 *
	 * @param peak the online requests in progress at the peak
	 * @param valley the online requests in progress in the valley
	 * @param lastRiseNanos when the last rise began, a reading of the ticker
	 * @param periodNanos the time from one rise to the next
	 * @param riseNanos the duration of a rise
	 */
	record Swing(double peak, double valley, long lastRiseNanos, long periodNanos, long riseNanos) {

		/**
		 * Returns by how much demand grows per second in a rise.
		 * @return online requests in progress per second
		 */
		double risePerSecond() {
			return (this.peak - this.valley) * 1e9 / this.riseNanos;
		}

		/**
		 * Returns the demand at a time from the beginning of a rise.
		 * @param nanos the time, negative for a time before the rise
		 * @return the expected online requests in progress, 0 before the rise
		 */
		double at(long nanos) {
			return (nanos <= 0) ? 0 : Math.min(this.peak, this.valley + risePerSecond() * nanos / 1e9);
		}

	}

}
