package org.ragworthook.gateway.http;

import java.util.Optional;

/**
 * Parses the {@code Keep-Alive} header.
 */
final class KeepAliveHeader {

	private static final String TIMEOUT = "timeout=";

	private static final long MILLIS_PER_SECOND = 1_000;

	private KeepAliveHeader() {
	}

	/**
	 * Returns the idle timeout that a server states.
	 * @param value the value of the header, or {@code null} if there is none
	 * @return milliseconds, or empty if the header states no timeout
	 */
	static Optional<Long> timeoutMillis(String value) {
		if (value == null) {
			return Optional.empty();
		}
		for (String part : value.split(",")) {
			String trimmed = part.trim();
			if (trimmed.regionMatches(true, 0, TIMEOUT, 0, TIMEOUT.length())) {
				try {
					return Optional.of(Long.parseLong(trimmed.substring(TIMEOUT.length()).trim()) * MILLIS_PER_SECOND);
				}
				catch (NumberFormatException ex) {
					return Optional.empty();
				}
			}
		}
		return Optional.empty();
	}

}
