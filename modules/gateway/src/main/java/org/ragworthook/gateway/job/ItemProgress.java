package org.ragworthook.gateway.job;

import java.util.Objects;

/**
 * How far an item is that has not ended.
 *
 * @param jobId its job
 * @param itemId the item, unique in the job
 * @param lastEvent the last event that the output holds, at least 1
 * @param output the data of the events so far in order, separated by line feeds
 */
public record ItemProgress(String jobId, String itemId, long lastEvent, String output) {

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
