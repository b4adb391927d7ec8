package org.ragworthook.gateway.online;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * The upstreams that a request has been sent to, which are excluded from its next
 * placement.
 * <p>
 * An upstream where the request stalled may be alive and resume, so it is excluded only
 * while the service has an upstream that was not tried. Excluded always, a stream that
 * was moved from a stalled upstream to one that rejected it would be broken off although
 * the first one could continue it.
 */
final class TriedUpstreams {

	private final Set<TrackedUpstream> failed = new HashSet<>();

	private final Set<TrackedUpstream> stalled = new HashSet<>();

	/**
	 * Records an upstream that rejected the request or broke off its response.
	 * @param upstream the upstream
	 */
	void failed(TrackedUpstream upstream) {
		this.failed.add(upstream);
	}

	/**
	 * Records an upstream that sent nothing, from which the request was moved.
	 * @param upstream the upstream
	 */
	void stalled(TrackedUpstream upstream) {
		this.stalled.add(upstream);
	}

	/**
	 * Returns the upstreams that the request must not be sent to.
	 * @param serving all upstreams of the request's service
	 * @return the failed upstreams, and the stalled ones unless every upstream of the
	 * service was tried
	 */
	Collection<TrackedUpstream> excluded(List<TrackedUpstream> serving) {
		if (this.stalled.isEmpty()) {
			return this.failed;
		}
		Set<TrackedUpstream> all = new HashSet<>(this.failed);
		all.addAll(this.stalled);
		return all.containsAll(serving) ? this.failed : all;
	}

}
