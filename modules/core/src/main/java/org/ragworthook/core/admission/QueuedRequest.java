package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * A request that waits in a fair queue.
 *
 * @param account whose request it is
 * @param weight the account's share against others, at least one
 * @param deadlineNanos the ticker's reading after which the request is of no use, or
 * {@link Offer#NO_DEADLINE}
 * @param item what waits
 * @param <T> the type of what waits
 */
public record QueuedRequest<T>(String account, int weight, long deadlineNanos, T item) {

	/**
	 * Checks the parts.
	 */
	public QueuedRequest {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(item, "item is null");
		if (weight < 1) {
			throw new IllegalArgumentException("weight " + weight + " is less than 1");
		}
	}

}
