package org.ragworthook.gateway.online;

import java.util.Locale;

/**
 * The component that chose the upstream of a request.
 */
enum PlacementSource {

	/** This process, from its own load and the load reports of its peers. */
	ENTRY,

	/** The dispatcher, which assigns slots while they are scarce. */
	DISPATCHER;

	/**
	 * Returns the value that is written to the log.
	 * @return the constant's name in lower case
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
