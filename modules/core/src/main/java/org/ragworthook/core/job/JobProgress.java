package org.ragworthook.core.job;

/**
 * The progress of a job at the shard owner.
 *
 * @param id the job
 * @param account the account that owns the job
 * @param items the number of items of the job
 * @param counts the counts of the ended chunks' items
 * @param dueMillis when the job is due, in milliseconds of Unix time
 * @param expectedMillis when the job is expected to end, in milliseconds of Unix time; 0
 * if unknown
 */
public record JobProgress(JobId id, String account, int items, JobCounts counts, long dueMillis, long expectedMillis) {

	/**
	 * Returns whether the job is expected to miss its due time.
	 * @return whether the expected end is after the due time
	 */
	public boolean late() {
		return this.expectedMillis > this.dueMillis;
	}

}
