package org.ragworthook.gateway.upstream;

import java.util.Objects;
import java.util.OptionalLong;

import org.ragworthook.core.fleet.Address;

/**
 * An upstream's description of itself.
 *
 * @param id the upstream's id; it may keep it when it starts again
 * @param service the service that it runs
 * @param address the address at which it accepts requests
 * @param failureDomain the name of its failure domain
 * @param slots number of requests that it runs concurrently; at least 1
 * @param draining whether it is about to leave and accepts no more requests
 * @param version the version of its software, which stays the same until it starts again
 * @param startedMillis when it started, Unix milliseconds, or empty if it does not state
 * that; then each start has an id of its own
 */
public record UpstreamDescriptor(String id, String service, Address address, String failureDomain, int slots,
		boolean draining, SoftwareVersion version, OptionalLong startedMillis) {

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
		Objects.requireNonNull(startedMillis, "startedMillis is null");
		if (slots < 1) {
			throw new IllegalArgumentException("upstream " + id + " has " + slots + " slots, must have at least 1");
		}
	}

	/**
	 * Creates the description of an upstream that does not state when it started.
	 * @param id the upstream's id
	 * @param service the service that it runs
	 * @param address the address at which it accepts requests
	 * @param failureDomain the name of its failure domain
	 * @param slots number of requests that it runs concurrently; at least 1
	 * @param draining whether it is about to leave and accepts no more requests
	 * @param version the version of its software
	 * @throws IllegalArgumentException if there is no slot
	 */
	public UpstreamDescriptor(String id, String service, Address address, String failureDomain, int slots,
			boolean draining, SoftwareVersion version) {
		this(id, service, address, failureDomain, slots, draining, version, OptionalLong.empty());
	}

	/**
	 * Returns whether another description is of a later start of the same upstream.
	 * Software of another version cannot have been started by the same start.
	 * @param newer the other description
	 * @return whether its start is later, or it states another software version and no
	 * start
	 */
	boolean replacedBy(UpstreamDescriptor newer) {
		if (this.startedMillis.isPresent() && newer.startedMillis.isPresent()) {
			return newer.startedMillis.getAsLong() > this.startedMillis.getAsLong();
		}
		return newer.startedMillis.isPresent() || !newer.version.equals(this.version);
	}

	/**
	 * Returns whether another description is not from this start of the upstream or a
	 * later one: it arrived late, or was written by somebody else.
	 * @param other the other description
	 * @return whether this one states its start, and the other an earlier one or none
	 */
	boolean outdates(UpstreamDescriptor other) {
		return this.startedMillis.isPresent()
				&& (other.startedMillis.isEmpty() || other.startedMillis.getAsLong() < this.startedMillis.getAsLong());
	}

}
