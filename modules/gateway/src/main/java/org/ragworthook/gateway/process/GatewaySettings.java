package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.fleet.Address;

/**
 * What a process is to do and where.
 *
 * @param instance its name
 * @param failureDomain its failure domain
 * @param front where it takes callers' requests, or empty if it does not
 * @param readiness where the balancer asks whether it is ready, or empty
 * @param peers where it takes reports of its peers
 * @param metrics where it shows its metrics
 * @param runsJobs whether it runs items of batch jobs
 * @param grace how long it has to stop after it is told to
 * @param queueTimeout how long a batch item may be without an answer at an engine that is
 * thought to have a slot free
 * @param bounds how soon changes have to hold
 */
public record GatewaySettings(String instance, String failureDomain, Optional<Address> front,
		Optional<Address> readiness, Address peers, Address metrics, boolean runsJobs, Duration grace,
		Duration queueTimeout, PlatformBounds bounds) {

	/** Five times the usual 30 ms until the first event. */
	public static final Duration DEFAULT_QUEUE_TIMEOUT = Duration.ofMillis(150);

	/**
	 * Checks that all parts are there.
	 */
	public GatewaySettings {
		Objects.requireNonNull(instance, "instance is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(front, "front is null");
		Objects.requireNonNull(readiness, "readiness is null");
		Objects.requireNonNull(peers, "peers is null");
		Objects.requireNonNull(metrics, "metrics is null");
		Objects.requireNonNull(grace, "grace is null");
		Objects.requireNonNull(queueTimeout, "queueTimeout is null");
		Objects.requireNonNull(bounds, "bounds is null");
	}

	/**
	 * Returns the settings with another time to stop.
	 * @param other how long a stop may take
	 * @return a copy
	 */
	public GatewaySettings withGrace(Duration other) {
		return new GatewaySettings(this.instance, this.failureDomain, this.front, this.readiness, this.peers,
				this.metrics, this.runsJobs, other, this.queueTimeout, this.bounds);
	}

}
