package org.ragworthook.core.job;

/**
 * How far the owner of a shard has come with a job.
 *
 * @param id the job
 * @param account whose job it is
 * @param items how many items it has
 * @param counts how the items of chunks that have ended came out
 * @param dueMillis when it is due, Unix time
 * @param expectedMillis when it is expected to end, Unix time; 0: not known
 */
public record JobProgress(JobId id, String account, int items, JobCounts counts, long dueMillis, long expectedMillis) {

	/**
	 * Tells whether the job will be late.
	 * @return whether it is expected to end after it is due
	 */
	public boolean late() {
		return this.expectedMillis > this.dueMillis;
	}

}
