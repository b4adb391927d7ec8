package org.ragworthook.gateway.job;

import java.util.Objects;

/**
 * How far an item is that is not listed.
 *
 * @param jobId its job
 * @param itemId the item, unique in the job
 * @param lastEvent the last event that the output holds, at least 1;
 * {@link Long#MAX_VALUE} if it holds all
 * @param output the data of the events so far in order, separated by line feeds
 */
public record ItemProgress(String jobId, String itemId, long lastEvent, String output) {

	/**
	 * Returns the progress of an item that has ended well and waits to be listed.
	 * @param jobId its job
	 * @param outcome how it ended
	 * @return the whole output
	 */
	static ItemProgress whole(String jobId, ItemOutcome outcome) {
		return new ItemProgress(jobId, outcome.itemId(), Long.MAX_VALUE, outcome.output());
	}

	/**
	 * Tells whether nothing is left to run.
	 * @return whether the output is whole
	 */
	boolean whole() {
		return this.lastEvent == Long.MAX_VALUE;
	}

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if there is no event
	 */
	public ItemProgress {
		Objects.requireNonNull(jobId, "jobId is null");
		Objects.requireNonNull(itemId, "itemId is null");
		Objects.requireNonNull(output, "output is null");
		if (lastEvent < 1) {
			throw new IllegalArgumentException("lastEvent is " + lastEvent + "; progress begins with event 1");
		}
	}

}
