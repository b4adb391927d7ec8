package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * A request that wants a slot at the engine.
 *
 * @param run which attempt at which request
 * @param deadlineNanos the ticker's reading after which the request is of no use, or
 * {@link #NO_DEADLINE}
 * @param exclusive whether the request is suspected of crashing engines, so that nothing
 * may run beside it
 * @param preemptible whether a batch request may be cancelled once it runs; one that may
 * run only once may not
 */
public record Offer(RunKey run, long deadlineNanos, boolean exclusive, boolean preemptible) {

	/** The deadline of a request that has none. */
	public static final long NO_DEADLINE = Long.MAX_VALUE;

	/**
	 * Checks the run.
	 */
	public Offer {
		Objects.requireNonNull(run, "run is null");
	}

	/**
	 * Returns an offer without a deadline that may run beside others.
	 * @param run which attempt at which request
	 * @return the offer
	 */
	public static Offer of(RunKey run) {
		return new Offer(run, NO_DEADLINE, false, true);
	}

	/**
	 * Returns the same offer with a deadline.
	 * @param nanos the ticker's reading after which the request is of no use
	 * @return the offer
	 */
	public Offer withDeadline(long nanos) {
		return new Offer(this.run, nanos, this.exclusive, this.preemptible);
	}

	/**
	 * Returns the same offer, to be run with nothing beside it.
	 * @return the offer
	 */
	public Offer asExclusive() {
		return new Offer(this.run, this.deadlineNanos, true, this.preemptible);
	}

	/**
	 * Returns the same offer, never to be cancelled for another request.
	 * @return the offer
	 */
	public Offer notPreemptible() {
		return new Offer(this.run, this.deadlineNanos, this.exclusive, false);
	}

	boolean expired(long now) {
		return this.deadlineNanos != NO_DEADLINE && this.deadlineNanos - now <= 0;
	}

}
