package org.ragworthook.gateway.route;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Where the requests of a host and path go, and what may be done with them.
 *
 * @param name the operator's name for it
 * @param host the host that requests name, without a port, in lower case
 * @param pathPrefix how their paths begin; starts and ends with a slash
 * @param kind what may be done with them
 * @param timeout how long a caller may be kept waiting
 * @param latencyTarget how soon the answer, or its first event, is to be there
 * @param services the services that run them; not empty
 * @param maxAttempts to how many upstreams one request may be sent; at least one
 * @param resumable whether an upstream can go on where another one stopped
 * @param completionTarget for batch jobs: how soon all results are to be there
 * @param retention for batch jobs: when an item may be given up
 * @param maxQueuedTokens for batch jobs: how many tokens of unfinished items one client
 * account may have waiting, or 0 for any number
 * @param allowAnonymous whether callers need no key
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, Duration timeout,
		Duration latencyTarget, List<WeightedService> services, int maxAttempts, boolean resumable,
		Duration completionTarget, Duration retention, long maxQueuedTokens, boolean allowAnonymous) {

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if a value is out of range
	 */
	public Route {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(host, "host is null");
		Objects.requireNonNull(pathPrefix, "pathPrefix is null");
		Objects.requireNonNull(kind, "kind is null");
		Objects.requireNonNull(timeout, "timeout is null");
		Objects.requireNonNull(latencyTarget, "latencyTarget is null");
		Objects.requireNonNull(completionTarget, "completionTarget is null");
		Objects.requireNonNull(retention, "retention is null");
		services = List.copyOf(services);
		if (services.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no service");
		}
		if (maxQueuedTokens < 0) {
			throw new IllegalArgumentException("route " + name + " lets " + maxQueuedTokens + " tokens wait");
		}
		if (maxAttempts < 1) {
			throw new IllegalArgumentException("route " + name + " allows no attempt");
		}
	}

	/**
	 * Returns the number by which processes name the waiting items of an account on this
	 * route to each other.
	 * @param account the account's name, or empty for callers without one
	 * @return a hash that is the same in every process, whatever the route's name
	 */
	public int backlogKey(Optional<String> account) {
		return (this.host + this.pathPrefix + account.orElse("")).hashCode();
	}

	/**
	 * Tells whether a host and path begin as the route's do.
	 * @param otherHost the host
	 * @param path the path
	 * @return whether they do; a route with a longer prefix may be nearer all the same
	 */
	public boolean matches(String otherHost, String path) {
		return this.host.equals(otherHost) && path.startsWith(this.pathPrefix);
	}

	/**
	 * Tells whether a request may be sent to another upstream after one may have run it.
	 * @return whether running it again does no harm
	 */
	public boolean retryable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Chooses a service by the weights.
	 * @param draw a number from 0 to below 1
	 * @return the name of the service
	 */
	public String pickService(double draw) {
		int sum = this.services.stream().mapToInt(WeightedService::weight).sum();
		double left = draw * sum;
		for (WeightedService candidate : this.services) {
			left -= candidate.weight();
			if (left < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
