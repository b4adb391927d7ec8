package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * Calls of a service that must not be repeated.
 *
 * @param method the HTTP method, in upper case
 * @param path the path; a {@code *} at its end stands for anything
 */
public record CallRule(String method, String path) {

	private static final String ANYTHING = "*";

	/**
	 * Checks that both parts are there.
	 */
	public CallRule {
		Objects.requireNonNull(method, "method is null");
		Objects.requireNonNull(path, "path is null");
	}

	/**
	 * Tells whether a call falls under this rule.
	 * @param calledMethod the HTTP method of the call
	 * @param calledPath the path of the call, without the query
	 * @return whether both match
	 */
	public boolean covers(String calledMethod, String calledPath) {
		if (!this.method.equalsIgnoreCase(calledMethod)) {
			return false;
		}
		return this.path.endsWith(ANYTHING) ? calledPath.startsWith(this.path.substring(0, this.path.length() - 1))
				: calledPath.equals(this.path);
	}

}
