package org.ragworthook.core.job;

/**
 * How the items of chunks that have ended came out.
 *
 * @param completed answered with success
 * @param failed ended otherwise, cancelled ones not included
 * @param cancelled stopped before they ended
 */
public record JobCounts(int completed, int failed, int cancelled) {

	/** No items. */
	public static final JobCounts NONE = new JobCounts(0, 0, 0);

	/**
	 * Adds the counts of other items.
	 * @param other the other items' counts
	 * @return the sum
	 */
	public JobCounts plus(JobCounts other) {
		return new JobCounts(this.completed + other.completed, this.failed + other.failed,
				this.cancelled + other.cancelled);
	}

	/**
	 * Returns how many items have ended.
	 * @return the sum of the counts
	 */
	public int ended() {
		return this.completed + this.failed + this.cancelled;
	}

}
