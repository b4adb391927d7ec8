package org.ragworthook.gateway.job;

/**
 * Tells who runs a job.
 * <p>
 * The answer may differ between processes for a while. That costs runs twice and harms
 * nothing: positions are decided by the store.
 */
public interface JobOwners {

	/**
	 * Tells whether this process runs a job.
	 * @param jobId the job
	 * @return whether it does
	 */
	boolean ownedHere(String jobId);

	/**
	 * Returns how many processes run jobs.
	 * @return this one and those that it knows of
	 */
	int runnerCount();

}
