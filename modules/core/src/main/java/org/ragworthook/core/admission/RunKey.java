package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * Identifies one attempt at a request.
 *
 * @param request the request id, unique across all entries
 * @param attempt the number of the attempt
 */
public record RunKey(String request, int attempt) {

	/**
	 * Checks that the request id is present.
	 */
	public RunKey {
		Objects.requireNonNull(request, "request is null");
	}

	/**
	 * Returns the key of an attempt.
	 * @param request the request id, unique across all entries
	 * @param attempt the number of the attempt
	 * @return the key
	 */
	public static RunKey of(String request, int attempt) {
		return new RunKey(request, attempt);
	}

}
