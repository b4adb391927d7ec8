package org.ragworthook.core.contract;

import java.util.Locale;

/**
 * The kind of upstreams that serve the requests of a service.
 */
public enum ServiceType {

	/** Model engines; requests are routed by model name. */
	MODEL,

	/** A plain HTTP service; requests are routed by path. */
	PLAIN;

	/**
	 * Returns the name used in contracts.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
