package org.ragworthook.core.job;

/**
 * Which item of which job.
 *
 * @param job the job
 * @param chunk the chunk's number
 * @param index the item's number in the chunk
 * @param customId the account's own name of the item
 */
public record ItemId(JobId job, int chunk, int index, String customId) {

	/**
	 * Returns the name of the item's request, the same over all attempts and owners.
	 * @return the name
	 */
	public String requestId() {
		return "batch_req_" + this.job.hex() + "-" + this.chunk + "-" + this.index;
	}

}
