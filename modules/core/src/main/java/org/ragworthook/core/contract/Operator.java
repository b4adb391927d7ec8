package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;

/**
 * Somebody who may change the text. An operator's key opens the operators' calls only,
 * never a caller's.
 *
 * @param name the name under which changes appear in the history
 * @param keys the hashes of the operator's keys
 */
public record Operator(String name, List<KeyHash> keys) {

	/**
	 * Copies the keys.
	 */
	public Operator {
		Objects.requireNonNull(name, "name is null");
		keys = List.copyOf(Objects.requireNonNull(keys, "keys is null"));
	}

}
