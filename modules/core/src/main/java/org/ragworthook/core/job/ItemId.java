package org.ragworthook.core.job;

/**
 * The identifier of an item.
 *
 * @param job the job
 * @param chunk the number of the chunk in the job, from 0
 * @param index the index of the item in the chunk, from 0
 * @param customId the identifier that the account gave the item
 */
public record ItemId(JobId job, int chunk, int index, String customId) {

	/**
	 * Returns the request identifier of the item, which is the same for all attempts and
	 * owners.
	 * @return the request identifier
	 */
	public String requestId() {
		return "batch_req_" + this.job.hex() + "-" + this.chunk + "-" + this.index;
	}

}
