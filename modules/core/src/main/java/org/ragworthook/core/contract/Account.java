package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;

/**
 * A caller that the operators know, with its share of the fleet.
 *
 * @param name its name, unique in the text
 * @param keys the hashes of its keys; two while a key is being rotated
 * @param weight its share against other accounts when the fleet is full, at least 1
 * @param limits what it may use at most
 * @param defaultClass the class of its requests that name none
 */
public record Account(String name, List<KeyHash> keys, int weight, Limits limits, RequestClass defaultClass) {

	/**
	 * Copies the keys.
	 */
	public Account {
		Objects.requireNonNull(name, "name is null");
		keys = List.copyOf(Objects.requireNonNull(keys, "keys is null"));
		Objects.requireNonNull(limits, "limits is null");
		Objects.requireNonNull(defaultClass, "defaultClass is null");
	}

	/**
	 * Returns an account with weight 1, without limits, whose requests are online.
	 * @param name its name
	 * @param keys the hashes of its keys
	 * @return the account
	 */
	public static Account of(String name, List<KeyHash> keys) {
		return new Account(name, keys, 1, Limits.none(), RequestClass.ONLINE);
	}

}
