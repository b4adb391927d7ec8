package org.ragworthook.daemon.settings;

import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The settings as they stand in the file, before they are checked. Keys that may be left
 * out are boxed. What each means is said where it is checked, in {@link DaemonSettings}.
 *
 * @param role what the process does
 * @param instance its name
 * @param region the region that it stands in
 * @param failureDomain the failure domain that it stands in
 * @param http where it serves HTTP
 * @param link where it takes links
 * @param platform where the platform is
 * @param upstream the upstream beside a sidecar
 * @param operatorKeys hashes of operators' keys by operator
 * @param dataFolder where bulk data may be kept
 * @param limits bounds on what it takes in
 * @param tls certificates of the links
 * @param httpTls certificates of the HTTP interface
 */
record SettingsFile(@JsonProperty(required = true) String role, @JsonProperty(required = true) String instance,
		@JsonProperty(required = true) String region, @JsonProperty(required = true) String failureDomain,
		@JsonProperty(required = true) String http, @JsonProperty(required = true) String link,
		@JsonProperty(required = true) Platform platform, Upstream upstream, Map<String, String> operatorKeys,
		String dataFolder, Limits limits, Tls tls, HttpTls httpTls) {

	/**
	 * Where the platform is.
	 *
	 * @param objects where the object API listens
	 * @param instances where the list of instances is served
	 * @param namespace the namespace of all objects
	 */
	record Platform(@JsonProperty(required = true) String objects, @JsonProperty(required = true) String instances,
			String namespace) {
	}

	/**
	 * The upstream beside a sidecar.
	 *
	 * @param url its base URL
	 * @param service the service that it serves
	 * @param policy how requests are admitted
	 * @param initialLimit requests at once, at first
	 * @param maxLimit requests at once, at most
	 */
	record Upstream(@JsonProperty(required = true) String url, @JsonProperty(required = true) String service,
			String policy, Integer initialLimit, Integer maxLimit) {
	}

	/**
	 * Bounds on what a process takes in.
	 *
	 * @param requestBytes the largest online request
	 * @param fileBytes the largest file
	 * @param connections the most connections
	 * @param shards how many shards there are
	 * @param leaseMillis how long a lease lasts
	 * @param drainMillis how long a stop waits
	 */
	record Limits(Integer requestBytes, Long fileBytes, Integer connections, Integer shards, Integer leaseMillis,
			Integer drainMillis) {
	}

	/**
	 * Certificates of a process.
	 *
	 * @param certificate file of its chain
	 * @param key file of its private key
	 * @param authority file of the authority
	 */
	record Tls(@JsonProperty(required = true) String certificate, @JsonProperty(required = true) String key,
			@JsonProperty(required = true) String authority) {
	}

	/**
	 * Certificates of the HTTP interface.
	 *
	 * @param certificate file of the chain
	 * @param key file of the private key
	 */
	record HttpTls(@JsonProperty(required = true) String certificate, @JsonProperty(required = true) String key) {
	}

}
