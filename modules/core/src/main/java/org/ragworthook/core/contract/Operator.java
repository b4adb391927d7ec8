package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;

/**
 * An operator that may change the contract. Its keys authorise the admin API only, not
 * calls to services.
 *
 * @param name the name recorded as the author of revisions
 * @param keys the hashes of the operator's keys
 */
public record Operator(String name, List<KeyHash> keys) {

	/**
	 * Checks that no component is null and copies the keys.
	 */
	public Operator {
		Objects.requireNonNull(name, "name is null");
		keys = List.copyOf(Objects.requireNonNull(keys, "keys is null"));
	}

}
