package org.ragworthook.gateway.dialect;

/**
 * A call about a batch job that was submitted before.
 *
 * @param action what is asked
 * @param jobId which job
 * @param position for results: the position to begin at, counted from 0
 * @param itemId for bodies: which item
 */
public record JobCall(Action action, String jobId, int position, String itemId) {

	/**
	 * What can be asked.
	 */
	public enum Action {

		/** The results from a position on. */
		RESULTS,

		/** The body of an item. */
		ITEM_BODY,

		/** To end the job. */
		END,

		/** Something that cannot be understood. */
		MALFORMED

	}

}
