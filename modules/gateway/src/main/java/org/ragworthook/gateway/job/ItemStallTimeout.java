package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.OptionalDouble;

import org.ragworthook.gateway.observe.ServiceTimes;

/**
 * The time without progress after which the run of an item counts as stalled.
 * <p>
 * An engine whose memory is full interrupts items and computes them again from the start,
 * so that the next event comes as late as a first one. The timeout allows for that and
 * for the gap between events, at the observed pace of the service, the upstream and the
 * run, whichever is slowest.
 */
final class ItemStallTimeout {

	/**
	 * The least timeout at an observed pace, the same as the greatest one for online
	 * requests: a needless second run of an item costs more than a late one.
	 */
	static final Duration LOWER_BOUND = Duration.ofSeconds(2);

	/**
	 * The least timeout while no pace was observed. Leaves some of the 5 s within which
	 * an item at an idle upstream has to run again.
	 */
	static final Duration UNKNOWN_LOWER_BOUND = Duration.ofSeconds(4);

	/** How many times as late as usual an event is if its upstream has stalled. */
	private static final double LATENESS = 5;

	/**
	 * How many times as long as a first event an engine may take to compute an item
	 * again: the prompt, the output so far, and a wait for memory.
	 */
	private static final double RECOMPUTATION = 3;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private ItemStallTimeout() {
	}

	/**
	 * Returns the timeout of a run.
	 * @param times the usual times of the service
	 * @param upstreamGapMillis the usual gap of the run's upstream, if known
	 * @param upstreamFirstEventMillis the usual time to the first event there, if known
	 * @param progress the run
	 * @return the timeout
	 */
	static Duration of(ServiceTimes times, OptionalDouble upstreamGapMillis, OptionalDouble upstreamFirstEventMillis,
			RunProgress progress) {
		double gap = max(times.gapMillis(), upstreamGapMillis, progress.gapMillis());
		double known = max(times.firstEventMillis(), upstreamFirstEventMillis, OptionalDouble.empty());
		double firstEvent = (known > 0) ? known : progress.headMillis().orElse(0);
		Duration derived = Duration.ofNanos((long) ((LATENESS * gap + RECOMPUTATION * firstEvent) * NANOS_PER_MILLI));
		Duration lowerBound = (gap > 0) ? LOWER_BOUND : UNKNOWN_LOWER_BOUND;
		return (derived.compareTo(lowerBound) > 0) ? derived : lowerBound;
	}

	private static double max(OptionalDouble one, OptionalDouble two, OptionalDouble three) {
		return Math.max(one.orElse(0), Math.max(two.orElse(0), three.orElse(0)));
	}

}
