package org.ragworthook.gateway.job;

/**
 * Decides which process runs a job.
 * <p>
 * Processes may disagree for a while. Items then run twice, which wastes work but does no
 * harm: the store decides the positions of results.
 */
public interface JobOwners {

	/**
	 * Returns whether this process is the owner of a job and has to run it.
	 * @param jobId the job's id
	 * @return whether this process owns the job
	 */
	boolean ownedHere(String jobId);

	/**
	 * Returns how many processes run jobs.
	 * @return the number of known processes that run jobs, this one included
	 */
	int runnerCount();

}
