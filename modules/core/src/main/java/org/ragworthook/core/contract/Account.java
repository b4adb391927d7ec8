package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;

/**
 * A client account that is authorised to call services, with its weight and limits.
 *
 * @param name the name, unique among the accounts of the contract
 * @param keys the hashes of the API keys; more than one while a key is being rotated
 * @param weight the relative share of capacity when the fleet is saturated, at least 1
 * @param limits the rate and concurrency limits
 * @param defaultClass the class of requests that specify none
 */
public record Account(String name, List<KeyHash> keys, int weight, Limits limits, RequestClass defaultClass) {

	/**
	 * Checks that no component is null and copies the keys.
	 */
	public Account {
		Objects.requireNonNull(name, "name is null");
		keys = List.copyOf(Objects.requireNonNull(keys, "keys is null"));
		Objects.requireNonNull(limits, "limits is null");
		Objects.requireNonNull(defaultClass, "defaultClass is null");
	}

	/**
	 * Returns an account with weight 1, no limits and the default class
	 * {@link RequestClass#ONLINE}.
	 * @param name the name of the account
	 * @param keys the hashes of the API keys
	 * @return the account
	 */
	public static Account of(String name, List<KeyHash> keys) {
		return new Account(name, keys, 1, Limits.none(), RequestClass.ONLINE);
	}

}
