package org.ragworthook.gateway.dispatch;

import java.util.Objects;
import java.util.Set;

import org.ragworthook.core.admission.WaitingRequest;
import org.ragworthook.gateway.account.ShareTerms;
import org.ragworthook.gateway.upstream.PrefixAffinity;

/**
 * A request of an entry for a slot, as received by a dispatcher. Equal to another one of
 * the same entry and number, which is the same request sent again.
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
 * @param terms the terms on which the request competes with those of other accounts
 * @param latestRetryNanos the ticker's reading in nanoseconds until which its caller can
 * retry after a refusal; {@code receivedNanos} if the request must not be refused
 */
record SlotRequest(String entry, long number, String requestId, String service, String failureDomain,
		Set<Integer> excluded, PrefixAffinity prefixAffinity, long receivedNanos, long startTargetNanos,
		ShareTerms terms, long latestRetryNanos) {

	SlotRequest {
		Objects.requireNonNull(entry, "entry is null");
		Objects.requireNonNull(requestId, "requestId is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(prefixAffinity, "prefixAffinity is null");
		Objects.requireNonNull(terms, "terms is null");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns this request as it waits in a queue.
	 * @return the waiting request
	 */
	WaitingRequest<SlotRequest> waiting() {
		return new WaitingRequest<>(this, this.terms.account(), this.terms.weight(), this.terms.priority(),
				this.startTargetNanos, this.latestRetryNanos);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof SlotRequest request && this.number == request.number
				&& this.entry.equals(request.entry);
	}

	@Override
	public int hashCode() {
		return 31 * this.entry.hashCode() + Long.hashCode(this.number);
	}

}
