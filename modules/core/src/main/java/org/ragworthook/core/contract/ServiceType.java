package org.ragworthook.core.contract;

import java.util.Locale;

/**
 * What answers the requests of a service.
 */
public enum ServiceType {

	/** Model engines, called by model name. */
	MODEL,

	/** An ordinary HTTP service, called by path. */
	PLAIN;

	/**
	 * Returns the name that the text uses.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
