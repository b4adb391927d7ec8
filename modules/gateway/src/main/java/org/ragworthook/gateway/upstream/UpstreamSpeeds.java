package org.ragworthook.gateway.upstream;

import java.util.OptionalDouble;

/**
 * How fast upstreams run requests, as observed by this process and its peers.
 */
public interface UpstreamSpeeds {

	/**
	 * Returns the median time between two events of a stream.
	 * @param upstream the upstream
	 * @param running the number of requests that it runs at the same time
	 * @return milliseconds; that of the service's median upstream if too little was
	 * observed of this one, and empty if too little was observed of all
	 */
	OptionalDouble gapMillis(TrackedUpstream upstream, int running);

	/**
	 * Returns the median time from sending a request to its first event while a slot is
	 * free.
	 * @param upstream the upstream
	 * @return milliseconds; that of the service's median upstream if too little was
	 * observed of this one, and empty if too little was observed of all
	 */
	OptionalDouble firstEventMillis(TrackedUpstream upstream);

	/**
	 * Returns whether the upstreams of a service differ so much in speed that requests
	 * are placed by expected time rather than by count.
	 * @param service the service
	 * @return whether the slowest and the fastest upstream differ by a factor of 1.5 or
	 * more
	 */
	boolean uneven(String service);

	/**
	 * Returns speeds without observations, with which requests are placed by count.
	 * @return the speeds
	 */
	static UpstreamSpeeds unknown() {
		return new UpstreamSpeeds() {

			@Override
			public OptionalDouble gapMillis(TrackedUpstream upstream, int running) {
				return OptionalDouble.empty();
			}

			@Override
			public OptionalDouble firstEventMillis(TrackedUpstream upstream) {
				return OptionalDouble.empty();
			}

			@Override
			public boolean uneven(String service) {
				return false;
			}

		};
	}

}
