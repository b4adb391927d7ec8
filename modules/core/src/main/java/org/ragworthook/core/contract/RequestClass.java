package org.ragworthook.core.contract;

import java.util.Locale;

/**
 * The priority class of a request.
 */
public enum RequestClass {

	/** Interactive: a client is waiting for the response. */
	ONLINE,

	/** Due within hours; preempted by online requests. */
	BATCH;

	/**
	 * Returns the name used in contracts and HTTP headers.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
