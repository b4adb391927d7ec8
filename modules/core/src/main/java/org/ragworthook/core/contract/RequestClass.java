package org.ragworthook.core.contract;

import java.util.Locale;

/**
 * How urgent a request is.
 */
public enum RequestClass {

	/** Somebody waits for the answer. */
	ONLINE,

	/** Due hours later; gives way to online requests. */
	BATCH;

	/**
	 * Returns the name that texts and headers use.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
