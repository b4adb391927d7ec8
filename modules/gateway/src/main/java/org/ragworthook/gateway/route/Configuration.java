package org.ragworthook.gateway.route;

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
 * One version of what the operator configured. Immutable; requests read it without a
 * lock.
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
	 * @param version its version; greater is newer
	 * @param routes its routes
	 * @param services what is stated of services, by name
	 * @param limits what callers may send
	 * @param accounts the client accounts
	 * @return the configuration
	 */
	public static Configuration of(long version, List<Route> routes, Map<String, ServiceCapacity> services,
			CallerLimits limits, Accounts accounts) {
		return new Configuration(version, Objects.requireNonNull(routes, "routes is null"),
				Objects.requireNonNull(services, "services is null"), limits, accounts);
	}

	/**
	 * Returns the version.
	 * @return greater is newer
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns what callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the client accounts.
	 * @return the accounts with their keys
	 */
	public Accounts accounts() {
		return this.accounts;
	}

	/**
	 * Returns what is stated of a service.
	 * @param name the service
	 * @return the statement, or empty if the configuration has none
	 */
	public Optional<ServiceCapacity> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Tells whether jobs may be submitted to a host, and called for, without a key.
	 * @param host the host that the request names, with or without a port
	 * @return whether one of its routes for jobs allows it
	 */
	public boolean allowsAnonymousJobs(String host) {
		return this.routesByHost.getOrDefault(hostName(host), List.of())
			.stream()
			.anyMatch((route) -> route.kind() == RouteKind.BATCH && route.allowAnonymous());
	}

	private static String hostName(String host) {
		int port = host.lastIndexOf(':');
		return ((port >= 0) ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds the route with the longest matching prefix.
	 * @param host the host that the request names, with or without a port
	 * @param uri the path, with or without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String uri) {
		int query = uri.indexOf('?');
		String path = (query >= 0) ? uri.substring(0, query) : uri;
		for (Route route : this.routesByHost.getOrDefault(hostName(host), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

}
