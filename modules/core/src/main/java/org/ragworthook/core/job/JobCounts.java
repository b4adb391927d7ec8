package org.ragworthook.core.job;

/**
 * The number of ended items by final status.
 *
 * @param completed the items that completed
 * @param failed the items that ended in any other way, except cancelled ones
 * @param cancelled the items that were cancelled
 */
public record JobCounts(int completed, int failed, int cancelled) {

	/** All counts 0. */
	public static final JobCounts NONE = new JobCounts(0, 0, 0);

	/**
	 * Adds other counts.
	 * @param other the counts to add
	 * @return the sum
	 */
	public JobCounts plus(JobCounts other) {
		return new JobCounts(this.completed + other.completed, this.failed + other.failed,
				this.cancelled + other.cancelled);
	}

	/**
	 * Returns the number of ended items.
	 * @return the sum of the three counts
	 */
	public int ended() {
		return this.completed + this.failed + this.cancelled;
	}

}
