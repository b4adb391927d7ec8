package org.ragworthook.gateway.upstream;

import java.util.Objects;

import org.ragworthook.core.fleet.Address;

/**
 * An upstream's description of itself.
 *
 * @param id identifies one incarnation of the upstream
 * @param service the service that it runs
 * @param address the address at which it accepts requests
 * @param failureDomain the name of its failure domain
 * @param slots number of requests that it runs concurrently; at least 1
 * @param draining whether it is about to leave and accepts no more requests
 * @param version the version of its software, which stays the same for an id
 */
public record UpstreamDescriptor(String id, String service, Address address, String failureDomain, int slots,
		boolean draining, SoftwareVersion version) {

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if there is no slot
	 */
	public UpstreamDescriptor {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(version, "version is null");
		if (slots < 1) {
			throw new IllegalArgumentException("upstream " + id + " has " + slots + " slots, must have at least 1");
		}
	}

}
