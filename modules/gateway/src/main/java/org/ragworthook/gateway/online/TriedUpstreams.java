package org.ragworthook.gateway.online;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * Where a request has been, so that it is not sent there again.
 * <p>
 * An upstream that stood still is different: it may live and go on. It is kept away from
 * only as long as there is another one to try. Otherwise a stream that was moved to an
 * upstream which turned it away was broken off, while the first one was there to go on.
 */
final class TriedUpstreams {

	private final Set<TrackedUpstream> ended = new HashSet<>();

	private final Set<TrackedUpstream> stoodStill = new HashSet<>();

	/**
	 * Learns that an upstream refused the request or broke off.
	 * @param upstream the upstream
	 */
	void ended(TrackedUpstream upstream) {
		this.ended.add(upstream);
	}

	/**
	 * Learns that the request was moved away from an upstream that sent nothing.
	 * @param upstream the upstream
	 */
	void stoodStill(TrackedUpstream upstream) {
		this.stoodStill.add(upstream);
	}

	/**
	 * Returns the upstreams to keep away from.
	 * @param serving the upstreams that serve the request's service
	 * @return a part of those that were tried
	 */
	Collection<TrackedUpstream> except(List<TrackedUpstream> serving) {
		if (this.stoodStill.isEmpty()) {
			return this.ended;
		}
		Set<TrackedUpstream> all = new HashSet<>(this.ended);
		all.addAll(this.stoodStill);
		return all.containsAll(serving) ? this.ended : all;
	}

}
