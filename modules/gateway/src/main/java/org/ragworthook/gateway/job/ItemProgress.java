package org.ragworthook.gateway.job;

import java.util.Objects;
import java.util.Optional;

import org.ragworthook.gateway.origin.StreamOrigin;

/**
 * The progress of an item whose result is not published yet.
 *
 * @param jobId the job's id
 * @param itemId the item's id, unique in the job
 * @param lastEvent the number of the last event in the output, at least 1;
 * {@link Long#MAX_VALUE} if the output is complete
 * @param origin the software that wrote the output; empty if the output is complete
 * @param output the data of the events so far in order, separated by line feeds
 */
public record ItemProgress(String jobId, String itemId, long lastEvent, Optional<StreamOrigin> origin, String output) {

	/**
	 * Returns the progress of an item that has completed and whose result waits to be
	 * published.
	 * @param jobId the job's id
	 * @param outcome the item's outcome
	 * @return the progress, with the complete output
	 */
	static ItemProgress completed(String jobId, ItemOutcome outcome) {
		return new ItemProgress(jobId, outcome.itemId(), Long.MAX_VALUE, Optional.empty(), outcome.output());
	}

	/**
	 * Returns whether the item has run to its end.
	 * @return whether the output is complete
	 */
	boolean complete() {
		return this.lastEvent == Long.MAX_VALUE;
	}

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if {@code lastEvent} is below 1
	 */
	public ItemProgress {
		Objects.requireNonNull(jobId, "jobId is null");
		Objects.requireNonNull(itemId, "itemId is null");
		Objects.requireNonNull(origin, "origin is null");
		Objects.requireNonNull(output, "output is null");
		if (lastEvent < 1) {
			throw new IllegalArgumentException("lastEvent is " + lastEvent + "; progress begins with event 1");
		}
	}

}
