package org.ragworthook.core.admission;

/**
 * A request in a {@link FairShareQueue}.
 *
 * @param <T> the type of the queued item
 */
final class QueueEntry<T> {

	private final WaitingRequest<T> request;

	private final long sequence;

	private final AccountLane<T> lane;

	private boolean late;

	private boolean returned;

	QueueEntry(WaitingRequest<T> request, long sequence, AccountLane<T> lane) {
		this.request = request;
		this.sequence = sequence;
		this.lane = lane;
	}

	WaitingRequest<T> request() {
		return this.request;
	}

	/**
	 * Returns the number of the entry in the order of arrival.
	 * @return the number, unique in the queue
	 */
	long sequence() {
		return this.sequence;
	}

	AccountLane<T> lane() {
		return this.lane;
	}

	/**
	 * Returns whether the start target had passed when the queue was last used.
	 * @return whether the request is late
	 */
	boolean late() {
		return this.late;
	}

	void markLate() {
		this.late = true;
	}

	/**
	 * Returns whether its caller was refused before and came back as it was told.
	 * @return whether the request has returned
	 */
	boolean returned() {
		return this.returned;
	}

	void markReturned() {
		this.returned = true;
	}

}
