package org.ragworthook.core.job;

import java.util.concurrent.CompletableFuture;

/**
 * Sends items to sidecars, no more than they have free slots for.
 */
public interface ItemSender {

	/**
	 * Returns the number of further items that the sidecars of a route accept.
	 * @param route the model, or the URL path of a service without models
	 * @return the number of free slots; 0 if all are taken or no sidecar serves the route
	 */
	int freeSlots(String route);

	/**
	 * Returns whether any sidecar serves a route, whether or not it has free slots. The
	 * chunks of a job that no sidecar serves are not loaded into memory.
	 * @param route the model, or the URL path of a service without models
	 * @return whether a sidecar serves the route
	 */
	default boolean serves(String route) {
		return true;
	}

	/**
	 * Sends an attempt. Takes a free slot of the route before it returns.
	 * @param request the attempt
	 * @return the outcome; always completes normally, also if the sidecar is lost
	 */
	CompletableFuture<ItemOutcome> send(ItemRequest request);

	/**
	 * Stops all items of a job, both queued and running. No item of the job is sent
	 * again.
	 * @param job the job
	 */
	void cancel(JobId job);

	/**
	 * Stops the items of a job that this sender has sent and lets their attempts
	 * complete. Another owner sends them again.
	 * @param job the job
	 */
	void recall(JobId job);

}
