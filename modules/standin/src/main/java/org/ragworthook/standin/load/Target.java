package org.ragworthook.standin.load;

import java.util.Objects;

import org.ragworthook.core.fleet.Address;

/**
 * Where requests are sent.
 *
 * @param address the HTTP address
 * @param key the account key, empty for an engine itself
 */
public record Target(Address address, String key) {

	/**
	 * Checks that all parts are there.
	 */
	public Target {
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(key, "key is null");
	}

	/**
	 * Returns a target that takes no key.
	 * @param address the HTTP address
	 * @return the target
	 */
	public static Target of(Address address) {
		return new Target(address, "");
	}

}
