package org.ragworthook.core.job;

/**
 * The final status of an item.
 */
public enum ItemStatus {

	/** The upstream answered with success. */
	COMPLETED,

	/**
	 * The upstream answered with an error, all attempts failed, or the result is too
	 * large.
	 */
	FAILED,

	/** The item crashed the upstreams that ran it. */
	POISONED,

	/** The item is not idempotent and was started, and its outcome is unknown. */
	OUTCOME_UNKNOWN,

	/** The item was stopped because its job was cancelled. */
	CANCELLED;

	/**
	 * Returns the counts for one item with this status.
	 * @return the counts
	 */
	public JobCounts counts() {
		return switch (this) {
			case COMPLETED -> new JobCounts(1, 0, 0);
			case FAILED, POISONED, OUTCOME_UNKNOWN -> new JobCounts(0, 1, 0);
			case CANCELLED -> new JobCounts(0, 0, 1);
		};
	}

}
