package org.ragworthook.gateway.dispatch;

import java.util.Objects;
import java.util.Set;

import org.ragworthook.gateway.upstream.PrefixAffinity;

/**
 * A request of an entry for a slot, as received by a dispatcher.
 *
 * @param entry the name of the entry
 * @param number the entry's number of the request, the same when it is sent again
 * @param requestId the caller's id of the request, for the log
 * @param service the service
 * @param failureDomain the entry's failure domain
 * @param excluded keys of upstreams that must not be chosen
 * @param prefixAffinity the upstreams that are likely to have the prompt's prefix cached
 * @param receivedNanos the ticker's reading in nanoseconds when the request was received
 * @param startTargetNanos the ticker's reading in nanoseconds by which the request has to
 * start running to meet its latency target
 */
record SlotRequest(String entry, long number, String requestId, String service, String failureDomain,
		Set<Integer> excluded, PrefixAffinity prefixAffinity, long receivedNanos, long startTargetNanos) {

	SlotRequest {
		Objects.requireNonNull(entry, "entry is null");
		Objects.requireNonNull(requestId, "requestId is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(prefixAffinity, "prefixAffinity is null");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns whether another request is the same one, possibly sent again.
	 * @param other the other request
	 * @return whether entry and number are equal
	 */
	boolean sameRequest(SlotRequest other) {
		return this.number == other.number && this.entry.equals(other.entry);
	}

}
