package org.ragworthook.gateway.route;

import java.util.Objects;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service its name
 * @param weight its share, relative to the other weights of the route; not negative
 */
public record WeightedService(String service, int weight) {

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if the weight is negative
	 */
	public WeightedService {
		Objects.requireNonNull(service, "service is null");
		if (weight < 0) {
			throw new IllegalArgumentException("weight " + weight + " is negative");
		}
	}

}
