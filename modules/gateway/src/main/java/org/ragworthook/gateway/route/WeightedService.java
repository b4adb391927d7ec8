package org.ragworthook.gateway.route;

import java.util.Objects;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight its share, relative to the other weights of the route; not negative
 */
public record WeightedService(String service, int weight) {

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if the weight is negative
	 */
	public WeightedService {
		Objects.requireNonNull(service, "service is null");
		if (weight < 0) {
			throw new IllegalArgumentException("weight " + weight + " of service " + service + " is negative");
		}
	}

}
