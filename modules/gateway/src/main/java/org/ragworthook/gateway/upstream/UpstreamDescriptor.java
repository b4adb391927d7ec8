package org.ragworthook.gateway.upstream;

import java.util.Objects;

import org.ragworthook.core.fleet.Address;

/**
 * What an upstream says of itself.
 *
 * @param id names one incarnation of the upstream
 * @param service the service that it runs
 * @param address where it takes requests
 * @param failureDomain the name of its failure domain
 * @param slots how many requests it runs at once; at least one
 * @param draining whether it will leave and wants no more requests
 */
public record UpstreamDescriptor(String id, String service, Address address, String failureDomain, int slots,
		boolean draining) {

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if there is no slot
	 */
	public UpstreamDescriptor {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		if (slots < 1) {
			throw new IllegalArgumentException("upstream " + id + " has no slot");
		}
	}

}
