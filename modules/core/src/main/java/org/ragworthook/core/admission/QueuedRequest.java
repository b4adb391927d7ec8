package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * A request for a {@link FairQueue}.
 *
 * @param account the account that sent the request
 * @param weight the weight of the account relative to others, at least one
 * @param deadlineNanos the ticker's reading after which the result is useless, or
 * {@link Offer#NO_DEADLINE}
 * @param item the queued item
 * @param <T> the type of the queued item
 */
public record QueuedRequest<T>(String account, int weight, long deadlineNanos, T item) {

	/**
	 * Checks the components.
	 */
	public QueuedRequest {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(item, "item is null");
		if (weight < 1) {
			throw new IllegalArgumentException("weight " + weight + " is less than 1");
		}
	}

}
