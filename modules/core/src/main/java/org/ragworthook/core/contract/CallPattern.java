package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * A pattern of HTTP calls, used to list the calls of a service that are not idempotent
 * and must not be retried.
 *
 * @param method the HTTP method, in upper case
 * @param path the path without the query; a trailing {@code *} matches any suffix
 */
public record CallPattern(String method, String path) {

	private static final String WILDCARD = "*";

	/**
	 * Checks that no component is null.
	 */
	public CallPattern {
		Objects.requireNonNull(method, "method is null");
		Objects.requireNonNull(path, "path is null");
	}

	/**
	 * Returns whether a call matches this pattern.
	 * @param requestMethod the HTTP method of the call
	 * @param requestPath the path of the call, without the query
	 * @return whether method and path match; the method is compared ignoring case
	 */
	public boolean matches(String requestMethod, String requestPath) {
		if (!this.method.equalsIgnoreCase(requestMethod)) {
			return false;
		}
		return this.path.endsWith(WILDCARD) ? requestPath.startsWith(this.path.substring(0, this.path.length() - 1))
				: requestPath.equals(this.path);
	}

}
