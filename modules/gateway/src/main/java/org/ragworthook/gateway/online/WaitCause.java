package org.ragworthook.gateway.online;

import java.util.Locale;

/**
 * What a request whose response has not ended waits for.
 */
enum WaitCause {

	/** The first configuration. */
	CONFIGURATION,

	/** The confirmation of its key. */
	KEY,

	/** The rest of its body. */
	BODY,

	/** An upstream to be sent to. */
	SLOT,

	/** The response of an upstream. */
	UPSTREAM,

	/** The platform's store. */
	STORE,

	/** Its caller, which has not read the response yet. */
	CALLER;

	/**
	 * Returns the name in the log.
	 * @return the name
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
