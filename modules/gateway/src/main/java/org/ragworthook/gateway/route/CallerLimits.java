package org.ragworthook.gateway.route;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size and timing of callers' requests.
 *
 * @param maxHeaderBytes maximum size of a request's headers
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeout maximum time for the headers to arrive
 * @param idleTimeout how long a connection may stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Limits that apply until the configured ones are known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/** Checks the components. */
	public CallerLimits {
		Objects.requireNonNull(headerTimeout, "headerTimeout is null");
		Objects.requireNonNull(idleTimeout, "idleTimeout is null");
	}

}
