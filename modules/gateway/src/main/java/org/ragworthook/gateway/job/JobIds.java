package org.ragworthook.gateway.job;

import java.util.Objects;
import java.util.Optional;

/**
 * The ids under which jobs are stored. Callers choose the ids of their jobs, and two
 * accounts may choose the same one, so the stored id contains the account: no account can
 * reach, or collide with, a job of another.
 */
public final class JobIds {

	private static final char SEPARATOR = '/';

	private JobIds() {
	}

	/**
	 * Returns the id under which a job is stored.
	 * @param account the account that owns the job, or empty if its caller has none
	 * @param clientId the id that the caller chose
	 * @return the stored id: the two parts, escaped and joined by a slash, or the
	 * caller's id alone without an account
	 */
	public static String qualified(Optional<String> account, String clientId) {
		Objects.requireNonNull(clientId, "clientId is null");
		return account.map((name) -> escape(name) + SEPARATOR).orElse("") + escape(clientId);
	}

	private static String escape(String part) {
		return part.replace("%", "%25").replace("/", "%2f");
	}

}
