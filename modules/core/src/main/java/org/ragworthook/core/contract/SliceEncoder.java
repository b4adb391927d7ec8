package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;

/**
 * Computes the slices to send over one link to a sidecar. Most changes concern other
 * services; the slice then contains only the version, a few bytes.
 */
public final class SliceEncoder {

	private final String service;

	private long sentVersion;

	private String sentSection = "";

	private SliceEncoder(String service) {
		this.service = Objects.requireNonNull(service, "service is null");
	}

	/**
	 * Returns an encoder for a new link.
	 * @param service the name of the service that the sidecar's upstream belongs to
	 * @return an encoder that has not produced any slice
	 */
	public static SliceEncoder of(String service) {
		return new SliceEncoder(service);
	}

	/**
	 * Returns the slice to send for an activated contract. Concurrent calls may arrive in
	 * either order; an older version is not sent after a newer one.
	 * @param contract the activated contract
	 * @return the slice, or empty if this or a newer version was already sent on this
	 * link
	 */
	public synchronized Optional<Slice> next(Contract contract) {
		if (contract.version() <= this.sentVersion) {
			return Optional.empty();
		}
		String section = contract.section(this.service).orElse("");
		boolean unchanged = this.sentVersion > 0 && section.equals(this.sentSection);
		this.sentVersion = contract.version();
		this.sentSection = section;
		return Optional
			.of(new Slice(contract.version(), this.service, unchanged ? Optional.empty() : Optional.of(section)));
	}

}
