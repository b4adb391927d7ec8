package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * A request to be scheduled at an engine.
 *
 * @param run the attempt at the request
 * @param deadlineNanos the ticker's reading after which the result is useless, or
 * {@link #NO_DEADLINE}
 * @param exclusive whether no other request may run at the same time, because this one is
 * suspected of crashing engines
 * @param preemptible whether a batch run may be cancelled in favour of online requests;
 * false for requests that are not idempotent
 */
public record Offer(RunKey run, long deadlineNanos, boolean exclusive, boolean preemptible) {

	/** Deadline of a request without one. */
	public static final long NO_DEADLINE = Long.MAX_VALUE;

	/**
	 * Checks that the run is present.
	 */
	public Offer {
		Objects.requireNonNull(run, "run is null");
	}

	/**
	 * Returns a preemptible offer without a deadline that may run concurrently with
	 * others.
	 * @param run the attempt at the request
	 * @return the offer
	 */
	public static Offer of(RunKey run) {
		return new Offer(run, NO_DEADLINE, false, true);
	}

	/**
	 * Returns a copy with a deadline.
	 * @param nanos the ticker's reading after which the result is useless
	 * @return the copy
	 */
	public Offer withDeadline(long nanos) {
		return new Offer(this.run, nanos, this.exclusive, this.preemptible);
	}

	/**
	 * Returns a copy that must run alone.
	 * @return the copy
	 */
	public Offer asExclusive() {
		return new Offer(this.run, this.deadlineNanos, true, this.preemptible);
	}

	/**
	 * Returns a copy that must not be preempted.
	 * @return the copy
	 */
	public Offer notPreemptible() {
		return new Offer(this.run, this.deadlineNanos, this.exclusive, false);
	}

	boolean expired(long now) {
		return this.deadlineNanos != NO_DEADLINE && this.deadlineNanos - now <= 0;
	}

}
