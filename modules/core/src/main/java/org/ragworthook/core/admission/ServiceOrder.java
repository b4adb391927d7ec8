package org.ragworthook.core.admission;

import java.util.Comparator;

/**
 * The order in which a {@link FairShareQueue} serves the requests of one account.
 */
public enum ServiceOrder {

	/** In the order in which the requests were added. */
	ARRIVAL,

	/** By earliest start target; requests with equal targets in order of arrival. */
	TARGET_FIRST;

	/**
	 * Returns the order of arrival.
	 * @return the order
	 */
	public static ServiceOrder arrival() {
		return ARRIVAL;
	}

	/**
	 * Returns the order by earliest start target.
	 * @return the order
	 */
	public static ServiceOrder targetFirst() {
		return TARGET_FIRST;
	}

	/**
	 * Returns the order within an account. A caller that retries when it was told goes
	 * first, since the slot is reserved for it; by target it would be behind requests
	 * that arrived meanwhile.
	 * @param <T> the type of the queued item
	 * @return the order, total in one queue
	 */
	<T> Comparator<QueueEntry<T>> comparator() {
		Comparator<QueueEntry<T>> returnedFirst = Comparator.comparing((entry) -> !entry.returned());
		Comparator<QueueEntry<T>> byArrival = Comparator.comparingLong(QueueEntry::sequence);
		return returnedFirst.thenComparing((this == ARRIVAL) ? byArrival : byTarget());
	}

	/**
	 * Returns the order by target alone.
	 * @param <T> the type of the queued item
	 * @return the order, total in one queue
	 */
	static <T> Comparator<QueueEntry<T>> byTarget() {
		Comparator<QueueEntry<T>> byTarget = Comparator.comparingLong((entry) -> entry.request().startTargetNanos());
		return byTarget.thenComparingLong(QueueEntry::sequence);
	}

}
