package org.ragworthook.core.fleet;

/**
 * The role of a process.
 */
public enum Role {

	/**
	 * Accepts client requests, routes them to sidecars and takes part in coordination.
	 */
	ENTRY,

	/** Runs beside one upstream and proxies all requests to it. */
	SIDECAR

}
