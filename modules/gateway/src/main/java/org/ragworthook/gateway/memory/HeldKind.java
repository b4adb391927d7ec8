package org.ragworthook.gateway.memory;

import java.util.Locale;

/**
 * For whom bytes are held.
 */
public enum HeldKind {

	/** Responses that are not written to their callers yet. */
	CALLER,

	/**
	 * Requests that are not written to their upstreams yet, and received parts of events.
	 */
	UPSTREAM,

	/** Requests of callers that are not complete yet. */
	UPLOAD;

	/**
	 * Returns the name for logs and metrics.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
