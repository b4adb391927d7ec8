package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.ragworthook.core.fleet.Address;

/**
 * The settings of a process: its identity, its duties and the addresses it listens on.
 *
 * @param instance the name of the process
 * @param failureDomain the failure domain of the process
 * @param frontAddress where the process serves callers' requests, or empty if it serves
 * none
 * @param readinessAddress where the balancer asks whether the process is ready, or empty
 * @param peerAddress where the process receives reports of its peers
 * @param metricsAddress where the process serves its metrics
 * @param runsJobs whether the process runs items of batch jobs
 * @param grace the time the process has to stop after it is told to
 * @param queueTimeout how long a batch item may be without an answer at an engine that
 * appears to have a free slot, before the item is moved elsewhere
 * @param bounds the time bounds that the platform sets
 * @param memoryBytes the memory limit of the process in bytes, or empty if only the heap
 * limits it
 */
public record GatewaySettings(String instance, String failureDomain, Optional<Address> frontAddress,
		Optional<Address> readinessAddress, Address peerAddress, Address metricsAddress, boolean runsJobs,
		Duration grace, Duration queueTimeout, PlatformBounds bounds, OptionalLong memoryBytes) {

	/** Five times the usual 30 ms until the first event of an answer. */
	public static final Duration DEFAULT_QUEUE_TIMEOUT = Duration.ofMillis(150);

	/**
	 * Checks that no component is null.
	 */
	public GatewaySettings {
		Objects.requireNonNull(instance, "instance is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(frontAddress, "frontAddress is null");
		Objects.requireNonNull(readinessAddress, "readinessAddress is null");
		Objects.requireNonNull(peerAddress, "peerAddress is null");
		Objects.requireNonNull(metricsAddress, "metricsAddress is null");
		Objects.requireNonNull(grace, "grace is null");
		Objects.requireNonNull(queueTimeout, "queueTimeout is null");
		Objects.requireNonNull(bounds, "bounds is null");
		Objects.requireNonNull(memoryBytes, "memoryBytes is null");
	}

	/**
	 * Returns a copy of the settings with another grace period.
	 * @param other the time the process has to stop
	 * @return the copy
	 */
	public GatewaySettings withGrace(Duration other) {
		return new GatewaySettings(this.instance, this.failureDomain, this.frontAddress, this.readinessAddress,
				this.peerAddress, this.metricsAddress, this.runsJobs, other, this.queueTimeout, this.bounds,
				this.memoryBytes);
	}

}
