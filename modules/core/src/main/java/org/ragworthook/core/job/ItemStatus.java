package org.ragworthook.core.job;

/**
 * How an item ended.
 */
public enum ItemStatus {

	/** It was answered with success. */
	COMPLETED,

	/** It was answered with an error, or every attempt at it failed. */
	FAILED,

	/** It crashes the upstreams that run it. */
	POISONED,

	/** It may run only once, was started, and nobody knows how it came out. */
	OUTCOME_UNKNOWN,

	/** It was stopped with its job. */
	CANCELLED;

	/**
	 * Returns the counts of one item that ended so.
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
