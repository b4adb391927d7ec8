package org.ragworthook.gateway.account;

import java.util.Objects;
import java.util.Optional;

/**
 * A client account, to which rate limits, request priority and usage apply. Does not hold
 * the account's keys.
 *
 * @param name the account's name in the configuration
 * @param priority the priority of its requests, 0 being the highest, or empty to use the
 * route's priority
 * @param quota its rate limit
 */
public record ClientAccount(String name, Optional<Integer> priority, Quota quota) {

	/** Checks the components. */
	public ClientAccount {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(priority, "priority is null");
		Objects.requireNonNull(quota, "quota is null");
	}

	/**
	 * Returns the number that identifies the account in messages between processes.
	 * @return a hash of the name, the same in every process
	 */
	public int tag() {
		return tag(this.name);
	}

	/**
	 * Returns the number that identifies an account in messages between processes.
	 * @param name the account's name
	 * @return a hash of the name, the same in every process
	 */
	public static int tag(String name) {
		return name.hashCode();
	}

}
