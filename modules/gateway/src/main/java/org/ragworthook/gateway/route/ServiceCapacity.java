package org.ragworthook.gateway.route;

import java.util.Objects;

/**
 * What the operator states of the upstreams of a service.
 *
 * @param name the service
 * @param maxConnections how many connections an upstream takes from all callers together
 * @param slots how many requests an upstream runs at once
 */
public record ServiceCapacity(String name, int maxConnections, int slots) {

	/**
	 * Checks the values.
	 */
	public ServiceCapacity {
		Objects.requireNonNull(name, "name is null");
	}

}
