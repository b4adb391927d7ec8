package org.ragworthook.gateway.route;

import java.util.Objects;

/**
 * The configured capacity of each upstream of a service.
 *
 * @param name the service
 * @param maxConnections maximum number of connections to an upstream, over all callers
 * @param slots number of requests that an upstream runs concurrently
 */
public record ServiceCapacity(String name, int maxConnections, int slots) {

	/** Checks the components. */
	public ServiceCapacity {
		Objects.requireNonNull(name, "name is null");
	}

}
