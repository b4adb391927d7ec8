package org.ragworthook.core.fleet;

import java.util.Objects;

/**
 * One process of the system as the platform lists it.
 *
 * @param id its identity, unique to this run of the process
 * @param role what it does
 * @param service the service of its upstream, or the empty text for an entry
 * @param failureDomain where it stands
 * @param link where it takes links
 * @param leaving whether it is about to stop
 */
public record Instance(String id, Role role, String service, FailureDomain failureDomain, Address link,
		boolean leaving) {

	/**
	 * Checks that all parts are there.
	 */
	public Instance {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(role, "role is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(link, "link is null");
	}

}
