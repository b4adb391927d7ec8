package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * A request that was removed from a queue, since it could not have started by its target.
 *
 * @param item the queued item
 * @param retryAfter the time after which its caller is expected to find a free slot
 * @param share the fair share of its account, slots
 * @param used the slots that its account used
 * @param expectedWait the time after which the request would have started
 * @param <T> the type of the queued item
 */
public record ShedRequest<T>(T item, Duration retryAfter, double share, double used, Duration expectedWait) {

	/** Checks that no component is null. */
	public ShedRequest {
		Objects.requireNonNull(item, "item is null");
		Objects.requireNonNull(retryAfter, "retryAfter is null");
		Objects.requireNonNull(expectedWait, "expectedWait is null");
	}

}
