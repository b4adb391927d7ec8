package org.ragworthook.core.admission;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A request that waits for a slot.
 *
 * @param item the queued item, which identifies the request
 * @param account the tag of its client account, or empty if it has none
 * @param weight the weight of its account among the accounts that wait, at least 1
 * @param priority its priority; 0 is the highest
 * @param startTargetNanos the ticker's reading in nanoseconds by which it has to start to
 * meet its latency target
 * @param latestRetryNanos the ticker's reading in nanoseconds until which its caller can
 * retry after a rejection; not after the start of the wait if it cannot retry
 * @param <T> the type of the queued item
 */
public record WaitingRequest<T>(T item, OptionalInt account, int weight, int priority, long startTargetNanos,
		long latestRetryNanos) {

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if the weight is less than 1
	 */
	public WaitingRequest {
		Objects.requireNonNull(item, "item is null");
		Objects.requireNonNull(account, "account is null");
		if (weight < 1) {
			throw new IllegalArgumentException("weight is " + weight + ", must be at least 1");
		}
	}

}
