package org.ragworthook.daemon.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Role;

/**
 * What a process learns from its settings file.
 *
 * @param role what the process does
 * @param instance its name; a suffix makes it unique to each run
 * @param failureDomain where it stands
 * @param http where it serves HTTP: callers and operators at an entry, health and metrics
 * at a sidecar
 * @param link where it takes links
 * @param platform where the platform is
 * @param upstream of a sidecar: the upstream that it stands beside
 * @param operatorKeys by operator the hash of a key, {@code sha256:} and hex digits; for
 * the first text, before operators stand in it
 * @param dataFolder where bulk data may be kept, if there is a disk
 * @param limits bounds on what the process takes in
 * @param tls certificates of the links, or empty for plain TCP
 * @param httpTls certificates of the HTTP interface, or empty for plain HTTP
 */
public record DaemonSettings(Role role, String instance, FailureDomain failureDomain, Address http, Address link,
		PlatformSettings platform, Optional<UpstreamSettings> upstream, Map<String, String> operatorKeys,
		Optional<Path> dataFolder, LimitSettings limits, Optional<TlsSettings> tls, Optional<HttpTlsSettings> httpTls) {

	/**
	 * Copies the keys.
	 */
	public DaemonSettings {
		Objects.requireNonNull(role, "role is null");
		Objects.requireNonNull(instance, "instance is null");
		operatorKeys = Map.copyOf(operatorKeys);
	}

	/**
	 * Where the platform is.
	 *
	 * @param objects where the object API listens
	 * @param instances where the list of instances is served
	 * @param namespace the namespace of all objects
	 */
	public record PlatformSettings(Address objects, Address instances, String namespace) {
	}

	/**
	 * The upstream beside a sidecar.
	 *
	 * @param url base URL of the upstream
	 * @param service the service that it serves
	 * @param policy how requests are admitted
	 * @param initialLimit requests that it is first taken to run at once
	 * @param maxLimit requests that it is ever taken to run at once
	 */
	public record UpstreamSettings(String url, String service, Policy policy, int initialLimit, int maxLimit) {
	}

	/**
	 * How a sidecar admits requests to its engine.
	 */
	public enum Policy {

		/** Online first; batch fills what is left and gives way. */
		PRIORITY,

		/** The baseline for measurements: order of arrival, whatever the class. */
		ARRIVAL_ORDER

	}

	/**
	 * Bounds on what a process takes in.
	 *
	 * @param requestBytes the largest body of an online request
	 * @param fileBytes the largest uploaded file
	 * @param connections the most connections from callers
	 * @param shards over how many shards jobs and claims are spread; the same at all
	 * entries
	 * @param leaseMillis how long a lease lasts without renewal
	 * @param drainMillis how long a stop waits for requests in progress
	 */
	public record LimitSettings(int requestBytes, long fileBytes, int connections, int shards, int leaseMillis,
			int drainMillis) {
	}

	/**
	 * Certificates of a process, as files in PEM.
	 *
	 * @param certificate the process's own chain
	 * @param key its private key
	 * @param authority the authority that signs the certificates of all processes
	 */
	public record TlsSettings(Path certificate, Path key, Path authority) {
	}

	/**
	 * Certificates that the HTTP interface shows, as files in PEM.
	 *
	 * @param certificate the chain
	 * @param key the private key
	 */
	public record HttpTlsSettings(Path certificate, Path key) {
	}

}
