package org.ragworthook.gateway.route;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A route: the requests that it matches by host and path prefix, the services that they
 * are sent to, and how they may be run.
 *
 * @param name the route's name in the configuration
 * @param host the host of its requests, without a port, in lower case
 * @param pathPrefix the prefix of their paths; starts and ends with a slash
 * @param kind how its requests may be run
 * @param timeout maximum time that a caller waits for an answer
 * @param latencyTarget target for the time to the answer or its first event
 * @param services the services that run its requests; not empty
 * @param maxAttempts maximum number of upstreams to which one request is sent; at least 1
 * @param resumable whether an upstream can resume a stream that another one began
 * @param completionTarget for batch jobs, the target for the time until all results are
 * ready
 * @param retention for batch jobs, the time after which an unfinished item may be given
 * up
 * @param maxQueuedTokens for batch jobs, the maximum number of tokens in the unfinished
 * items of one client account, or 0 for no limit
 * @param anonymousAllowed whether callers are admitted without a key
 * @param priority the priority of its requests, 0 being the highest; applies to requests
 * whose account has none
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, Duration timeout,
		Duration latencyTarget, List<WeightedService> services, int maxAttempts, boolean resumable,
		Duration completionTarget, Duration retention, long maxQueuedTokens, boolean anonymousAllowed, int priority) {

	/**
	 * Checks the components.
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
			throw new IllegalArgumentException(
					"route " + name + " has a negative limit of " + maxQueuedTokens + " queued tokens");
		}
		if (priority < 0) {
			throw new IllegalArgumentException("route " + name + " has the negative priority " + priority);
		}
		if (maxAttempts < 1) {
			throw new IllegalArgumentException(
					"route " + name + " allows " + maxAttempts + " attempts, must allow at least 1");
		}
	}

	/**
	 * Returns the number that identifies an account's unfinished items on this route in
	 * messages between processes.
	 * @param account the account's name, or empty for callers without an account
	 * @return a hash of host, path prefix and account, the same in every process and
	 * independent of the route's name
	 */
	public int backlogKey(Optional<String> account) {
		return (this.host + this.pathPrefix + account.orElse("")).hashCode();
	}

	/**
	 * Returns whether a request matches the route's host and path prefix.
	 * @param requestHost the host of the request
	 * @param path the path of the request
	 * @return whether it matches; a route with a longer prefix may still take precedence
	 */
	public boolean matches(String requestHost, String path) {
		return this.host.equals(requestHost) && path.startsWith(this.pathPrefix);
	}

	/**
	 * Returns whether a request may be sent to another upstream after one may have run
	 * it.
	 * @return whether running it again is harmless
	 */
	public boolean retryable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Returns whether requests of this route may be sent to a service.
	 * @param service the name of the service
	 * @return whether the route names it
	 */
	public boolean leadsTo(String service) {
		return this.services.stream().anyMatch((candidate) -> candidate.service().equals(service));
	}

	/**
	 * Picks a service according to the weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the name of the service
	 */
	public String pickService(double draw) {
		int sum = this.services.stream().mapToInt(WeightedService::weight).sum();
		double remaining = draw * sum;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
