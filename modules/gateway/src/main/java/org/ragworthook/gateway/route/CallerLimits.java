package org.ragworthook.gateway.route;

import java.time.Duration;
import java.util.Objects;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body
 * @param headerTimeout how long the head may take to arrive
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** What holds until the operator's limits are known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Checks the values.
	 */
	public CallerLimits {
		Objects.requireNonNull(headerTimeout, "headerTimeout is null");
		Objects.requireNonNull(idleTimeout, "idleTimeout is null");
	}

}
