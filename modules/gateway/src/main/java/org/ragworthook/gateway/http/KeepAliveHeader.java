package org.ragworthook.gateway.http;

import java.util.Optional;

/**
 * Reads the {@code Keep-Alive} header.
 */
final class KeepAliveHeader {

	private static final String TIMEOUT = "timeout=";

	private static final long MILLIS = 1_000;

	private KeepAliveHeader() {
	}

	/**
	 * Reads how long the other side keeps an idle connection.
	 * @param value the header, or {@code null}
	 * @return milliseconds, or empty if it is not stated
	 */
	static Optional<Long> timeoutMillis(String value) {
		if (value == null) {
			return Optional.empty();
		}
		for (String part : value.split(",")) {
			String trimmed = part.trim();
			if (trimmed.regionMatches(true, 0, TIMEOUT, 0, TIMEOUT.length())) {
				try {
					return Optional.of(Long.parseLong(trimmed.substring(TIMEOUT.length()).trim()) * MILLIS);
				}
				catch (NumberFormatException ex) {
					return Optional.empty();
				}
			}
		}
		return Optional.empty();
	}

}
