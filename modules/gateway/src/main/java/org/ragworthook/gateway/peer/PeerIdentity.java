package org.ragworthook.gateway.peer;

import java.util.Objects;

import org.ragworthook.core.fleet.Address;

/**
 * What a process reports of itself to its peers.
 *
 * @param instance the name of the process
 * @param startedMillis when this run of the process began, Unix time
 * @param address where the process receives reports
 * @param runsJobs whether the process runs items of batch jobs
 */
public record PeerIdentity(String instance, long startedMillis, Address address, boolean runsJobs) {

	/**
	 * Checks that no component is null.
	 */
	public PeerIdentity {
		Objects.requireNonNull(instance, "instance is null");
		Objects.requireNonNull(address, "address is null");
	}

}
