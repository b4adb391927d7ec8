package org.ragworthook.core.admission;

/**
 * Whether the next slot goes to a request that is late: one after every three slots for
 * requests that are on time, so that late requests are not starved until their callers
 * give up while the load stays above the number of slots.
 */
final class LateTurns {

	/** Consecutive slots for requests that are on time, while late ones wait. */
	static final int MAX_ON_TIME_IN_A_ROW = 3;

	private int onTimeInARow;

	LateTurns copy() {
		LateTurns copy = new LateTurns();
		copy.onTimeInARow = this.onTimeInARow;
		return copy;
	}

	/**
	 * Returns whether the next slot is for a late request, if one waits.
	 * @return whether it is the turn of a late request
	 */
	boolean lateDue() {
		return this.onTimeInARow >= MAX_ON_TIME_IN_A_ROW;
	}

	void served(boolean late) {
		this.onTimeInARow = late ? 0 : this.onTimeInARow + 1;
	}

}
