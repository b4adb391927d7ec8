package org.ragworthook.gateway.peer;

import java.util.Objects;

import org.ragworthook.core.fleet.Address;

/**
 * How a process shows itself to its peers.
 *
 * @param instance its name
 * @param startedMillis when this run of it began, Unix time
 * @param address where it takes reports
 * @param runsJobs whether it runs items of batch jobs
 */
public record PeerIdentity(String instance, long startedMillis, Address address, boolean runsJobs) {

	/**
	 * Checks that all parts are there.
	 */
	public PeerIdentity {
		Objects.requireNonNull(instance, "instance is null");
		Objects.requireNonNull(address, "address is null");
	}

}
