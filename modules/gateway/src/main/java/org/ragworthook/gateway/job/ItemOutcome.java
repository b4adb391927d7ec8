package org.ragworthook.gateway.job;

import java.util.Objects;

/**
 * How an item ended.
 *
 * @param itemId the item's id, unique in its job
 * @param completed whether the item ran to its end; otherwise it was given up
 * @param output the data of all its events in order, separated by line feeds
 */
public record ItemOutcome(String itemId, boolean completed, String output) {

	/**
	 * Checks the components.
	 * @throws NullPointerException if a component is null
	 */
	public ItemOutcome {
		Objects.requireNonNull(itemId, "itemId is null");
		Objects.requireNonNull(output, "output is null");
	}

	/**
	 * Returns the outcome of an item that was given up.
	 * @param itemId the item's id
	 * @return an outcome without output
	 */
	public static ItemOutcome givenUp(String itemId) {
		return new ItemOutcome(itemId, false, "");
	}

}
