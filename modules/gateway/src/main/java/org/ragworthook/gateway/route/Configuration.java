package org.ragworthook.gateway.route;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.ragworthook.gateway.account.Accounts;

/**
 * One version of the operator's configuration. Immutable, so requests read it without
 * locking.
 */
public final class Configuration {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServiceCapacity> services;

	private final CallerLimits limits;

	private final Accounts accounts;

	private Configuration(long version, List<Route> routes, Map<String, ServiceCapacity> services, CallerLimits limits,
			Accounts accounts) {
		this.version = version;
		this.routesByHost = new HashMap<>(routes.stream()
			.sorted(Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed())
			.collect(Collectors.groupingBy(Route::host)));
		this.services = Map.copyOf(services);
		this.limits = Objects.requireNonNull(limits, "limits is null");
		this.accounts = Objects.requireNonNull(accounts, "accounts is null");
	}

	/**
	 * Returns a configuration.
	 * @param version the version; a greater one is newer
	 * @param routes the routes
	 * @param services the capacities of services, by name
	 * @param limits the limits on callers' requests
	 * @param accounts the client accounts
	 * @return a new configuration
	 */
	public static Configuration of(long version, List<Route> routes, Map<String, ServiceCapacity> services,
			CallerLimits limits, Accounts accounts) {
		return new Configuration(version, Objects.requireNonNull(routes, "routes is null"),
				Objects.requireNonNull(services, "services is null"), limits, accounts);
	}

	/**
	 * Returns the version.
	 * @return the version; a greater one is newer
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on callers' requests.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the client accounts.
	 * @return the accounts and their keys
	 */
	public Accounts accounts() {
		return this.accounts;
	}

	/**
	 * Returns the configured capacity of a service.
	 * @param name the service
	 * @return the capacity, or empty if none is configured
	 */
	public Optional<ServiceCapacity> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns whether batch jobs may be submitted to a host, and read from it, without a
	 * key.
	 * @param host the host of the request, with or without a port
	 * @return whether one of the host's batch routes allows it
	 */
	public boolean allowsAnonymousJobs(String host) {
		return this.routesByHost.getOrDefault(hostName(host), List.of())
			.stream()
			.anyMatch((route) -> route.kind() == RouteKind.BATCH && route.anonymousAllowed());
	}

	private static String hostName(String host) {
		int portIndex = host.lastIndexOf(':');
		return ((portIndex >= 0) ? host.substring(0, portIndex) : host).toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the route with the longest matching path prefix.
	 * @param host the host of the request, with or without a port
	 * @param uri the path, with or without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String uri) {
		int queryIndex = uri.indexOf('?');
		String path = (queryIndex >= 0) ? uri.substring(0, queryIndex) : uri;
		for (Route route : this.routesByHost.getOrDefault(hostName(host), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the strictest target for the time to the first event of a service.
	 * @param service the service
	 * @return the lowest latency target of the online routes that lead to the service, or
	 * empty if there is none
	 */
	public Optional<Duration> latencyTarget(String service) {
		return this.routesByHost.values()
			.stream()
			.flatMap(List::stream)
			.filter((route) -> route.kind() != RouteKind.BATCH && route.leadsTo(service))
			.map(Route::latencyTarget)
			.filter((target) -> target.compareTo(Duration.ZERO) > 0)
			.min(Comparator.naturalOrder());
	}

}
