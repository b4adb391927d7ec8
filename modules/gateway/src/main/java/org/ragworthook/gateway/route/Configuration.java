package org.ragworthook.gateway.route;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of what the operator configured. Immutable; requests read it without a
 * lock.
 */
public final class Configuration {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServicePool> services;

	private final CallerLimits limits;

	private Configuration(long version, List<Route> routes, Map<String, ServicePool> services, CallerLimits limits) {
		this.version = version;
		this.routesByHost = new HashMap<>(routes.stream()
			.sorted(Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed())
			.collect(Collectors.groupingBy(Route::host)));
		this.services = Map.copyOf(services);
		this.limits = Objects.requireNonNull(limits, "limits is null");
	}

	/**
	 * Returns a configuration.
	 * @param version its version; greater is newer
	 * @param routes its routes
	 * @param services what is stated of services, by name
	 * @param limits what callers may send
	 * @return the configuration
	 */
	public static Configuration of(long version, List<Route> routes, Map<String, ServicePool> services,
			CallerLimits limits) {
		return new Configuration(version, Objects.requireNonNull(routes, "routes is null"),
				Objects.requireNonNull(services, "services is null"), limits);
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
	 * Returns what is stated of a service.
	 * @param name the service
	 * @return the statement, or empty if the configuration has none
	 */
	public Optional<ServicePool> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the route with the longest matching prefix.
	 * @param host the host that the request names, with or without a port
	 * @param uri the path, with or without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String uri) {
		int port = host.lastIndexOf(':');
		String name = ((port >= 0) ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
		int query = uri.indexOf('?');
		String path = (query >= 0) ? uri.substring(0, query) : uri;
		for (Route route : this.routesByHost.getOrDefault(name, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

}
