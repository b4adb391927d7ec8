package org.ragworthook.core.job;

import java.util.concurrent.CompletableFuture;

/**
 * Hands items to sidecars, no more than they offer to hold.
 */
public interface ItemSender {

	/**
	 * Returns how many further items the sidecars of a route would hold.
	 * @param route the model, or the path of a plain service
	 * @return the room; 0 if there is none or nobody serves the route
	 */
	int freeSlots(String route);

	/**
	 * Tells whether any sidecar serves a route, be it busy or not. The chunks of a job
	 * that nobody serves are kept out of memory.
	 * @param route the model, or the path of a plain service
	 * @return whether somebody does
	 */
	default boolean serves(String route) {
		return true;
	}

	/**
	 * Sends an attempt. The room of its route shrinks before this returns.
	 * @param request the attempt
	 * @return what became of it; completes for each attempt, also if the sidecar is lost,
	 * and does not fail
	 */
	CompletableFuture<ItemOutcome> send(ItemRequest request);

	/**
	 * Stops all items of a job, those waiting at sidecars and those that run. No item of
	 * the job will be sent again.
	 * @param job the job
	 */
	void cancel(JobId job);

	/**
	 * Has the items of a job that were sent by this sender given back. Another owner will
	 * send them again.
	 * @param job the job
	 */
	void recall(JobId job);

}
