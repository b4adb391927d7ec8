package org.ragworthook.gateway.job;

import java.util.Objects;
import java.util.Optional;

/**
 * The ids under which jobs are kept. Callers choose ids, and two accounts may choose the
 * same, so the account is part of an id: no account can reach, or collide with, a job of
 * another one.
 */
public final class JobIds {

	private static final char SEPARATOR = '/';

	private JobIds() {
	}

	/**
	 * Returns the id under which a job is kept.
	 * @param account the account that it belongs to, or empty if its caller has none
	 * @param chosen the id that its caller chose
	 * @return the id; without an account, the one chosen
	 */
	public static String qualified(Optional<String> account, String chosen) {
		Objects.requireNonNull(chosen, "chosen is null");
		return account.map((name) -> escaped(name) + SEPARATOR).orElse("") + escaped(chosen);
	}

	private static String escaped(String part) {
		return part.replace("%", "%25").replace("/", "%2f");
	}

}
