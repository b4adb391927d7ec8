package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;

/**
 * What a sidecar is told of a new contract.
 *
 * @param version the contract's version
 * @param service the service of the sidecar's upstream
 * @param section the service's section, or empty if it is the one sent before
 */
public record Slice(long version, String service, Optional<String> section) {

	/**
	 * Checks that all parts are there.
	 */
	public Slice {
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(section, "section is null");
	}

}
