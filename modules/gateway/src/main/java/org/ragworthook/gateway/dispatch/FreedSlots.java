package org.ragworthook.gateway.dispatch;

import java.time.Duration;

import org.ragworthook.core.admission.SlotForecast;
import org.ragworthook.gateway.upstream.SlotSharing;

/**
 * Observes how soon the slots of a service become free, as a rate per slot in use.
 * Answers bursts: the rate of ends in the quiet time before a burst would be too low for
 * a full fleet, while the rate per slot in use changes little with the load. Used by a
 * dispatcher, which knows each start while slots are scarce: what it has granted and is
 * no longer in use has ended. Intervals in which entries start requests themselves are
 * left out: if few slots are in use, so that they do not ask, or more than there are,
 * which a dispatcher never grants. Not thread-safe.
 */
final class FreedSlots {

	/**
	 * Time between two observations. Each counts the slots of all upstreams; at 11,000
	 * upstreams this interval keeps the cost below half a percent of a core.
	 */
	static final Duration SAMPLE_INTERVAL = Duration.ofMillis(25);

	/** Longest interval whose ends are counted, so that a pause is not. */
	private static final Duration MAX_INTERVAL = Duration.ofMillis(250);

	/**
	 * Time with scarce slots in which an observation loses half of its weight: a part of
	 * a burst of 2.4 s, and at 20 ends per second still 29 of them.
	 */
	private static final Duration HALF_LIFE = Duration.ofSeconds(1);

	/** Ends without which no rate is stated: with 8 the standard error is a third. */
	private static final double MIN_ENDS = 8;

	private static final double NANOS_PER_SECOND = 1e9;

	private boolean observed;

	private long lastNanos;

	private int lastInUse;

	private int lastSlots;

	private int granted;

	private double ends;

	private double slotSeconds;

	/** Called when a slot was granted at an upstream whose slots are observed. */
	void recordGrant() {
		this.granted++;
	}

	/**
	 * Returns whether it is time for the next observation.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return whether {@link #SAMPLE_INTERVAL} has passed since the last one
	 */
	boolean due(long nowNanos) {
		return !this.observed || nowNanos - this.lastNanos >= SAMPLE_INTERVAL.toNanos();
	}

	/**
	 * Adds an observation.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param inUse slots in use by online requests, including those granted
	 * @param slots the slots that there are
	 */
	void observe(long nowNanos, int inUse, int slots) {
		long interval = nowNanos - this.lastNanos;
		if (this.observed && slots == this.lastSlots && dispatched(inUse, slots) && dispatched(this.lastInUse, slots)
				&& interval <= MAX_INTERVAL.toNanos()) {
			double decay = Math.pow(0.5, (double) interval / HALF_LIFE.toNanos());
			this.ends = this.ends * decay + Math.max(0, this.lastInUse + this.granted - inUse);
			this.slotSeconds = this.slotSeconds * decay + (this.lastInUse + inUse) / 2.0 * interval / NANOS_PER_SECOND;
		}
		this.observed = true;
		this.lastNanos = nowNanos;
		this.lastInUse = inUse;
		this.lastSlots = slots;
		this.granted = 0;
	}

	/**
	 * Leaves out the interval that ends with the next observation, since other upstreams
	 * are observed then: requests of those no longer observed have not ended.
	 */
	void skipInterval() {
		this.observed = false;
	}

	private static boolean dispatched(int inUse, int slots) {
		return SlotSharing.slotsScarce(slots, inUse) && inUse <= slots;
	}

	/**
	 * Returns how soon slots are expected to become free at the load last observed.
	 * @return the forecast, unknown until enough ends were observed
	 */
	SlotForecast forecast() {
		if (this.ends < MIN_ENDS || this.slotSeconds <= 0) {
			return SlotForecast.unknown();
		}
		return new SlotForecast(this.ends / this.slotSeconds * Math.min(this.lastInUse, this.lastSlots));
	}

}
