package org.ragworthook.gateway.http;

import java.util.Locale;

/**
 * Why a response is not taken for the one to the request in progress.
 */
enum SkipReason {

	/** It states no request id, and may be a second response to an earlier request. */
	NO_ID,

	/** It states another request id, or a list. */
	OTHER_ID;

	/**
	 * Returns the name for logs and metrics.
	 * @return the name in lower case
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
