package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * Names one attempt at a request.
 *
 * @param request the request, unique over all entries
 * @param attempt which attempt at it
 */
public record RunKey(String request, int attempt) {

	/**
	 * Checks the request.
	 */
	public RunKey {
		Objects.requireNonNull(request, "request is null");
	}

	/**
	 * Returns the name of an attempt.
	 * @param request the request, unique over all entries
	 * @param attempt which attempt at it
	 * @return the name
	 */
	public static RunKey of(String request, int attempt) {
		return new RunKey(request, attempt);
	}

}
