package org.ragworthook.core.fleet;

/**
 * What a process of the system does.
 */
public enum Role {

	/** Takes callers' requests, routes them and coordinates. */
	ENTRY,

	/** Stands beside one upstream and is the only way to it. */
	SIDECAR

}
