package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;

/**
 * The update that an entry sends to a sidecar about a new version of the contract.
 *
 * @param version the version of the contract
 * @param service the name of the service that the sidecar's upstream belongs to
 * @param section the normalised section of the service, empty text if the contract no
 * longer contains it; absent if unchanged since the previous slice on the same link
 */
public record Slice(long version, String service, Optional<String> section) {

	/**
	 * Checks that no component is null.
	 */
	public Slice {
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(section, "section is null");
	}

}
