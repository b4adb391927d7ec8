package org.ragworthook.core.fleet;

import java.util.Objects;

/**
 * A process of the system, as listed by the platform.
 *
 * @param id the process's identifier, unique to this run
 * @param role the process's role
 * @param service the service of a sidecar's upstream; empty for an entry
 * @param failureDomain the failure domain that the process runs in
 * @param link the address on which the process accepts links
 * @param leaving whether the process is shutting down
 */
public record Instance(String id, Role role, String service, FailureDomain failureDomain, Address link,
		boolean leaving) {

	/**
	 * Rejects null components.
	 */
	public Instance {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(role, "role is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(link, "link is null");
	}

}
