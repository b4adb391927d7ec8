package org.ragworthook.gateway.dialect;

/**
 * A request about a batch job that was submitted before.
 *
 * @param action the requested action
 * @param jobId the job's id
 * @param position for {@link Action#RESULTS}: the position of the first result, from 0
 * @param itemId for {@link Action#ITEM_BODY}: the item's id
 */
public record JobRequest(Action action, String jobId, int position, String itemId) {

	/**
	 * The actions that can be requested.
	 */
	public enum Action {

		/** Read results from a position on. */
		RESULTS,

		/** Read the body of an item. */
		ITEM_BODY,

		/** End the job. */
		END,

		/** The request is malformed. */
		MALFORMED

	}

}
