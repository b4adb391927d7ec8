package org.ragworthook.gateway.online;

import java.util.Locale;

/**
 * Who has chosen an upstream for a request.
 */
enum Chooser {

	/** This process, by what it has heard of its peers. */
	ENTRY,

	/** The process that gives out slots while they are scarce. */
	DISPATCHER;

	/**
	 * Returns the name as logs show it.
	 * @return a word
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
