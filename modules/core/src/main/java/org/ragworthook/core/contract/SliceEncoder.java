package org.ragworthook.core.contract;

import java.util.Objects;
import java.util.Optional;

/**
 * Works out what one link to a sidecar still has to be told. Most changes concern other
 * services; the sidecar is then told the version only, a few bytes.
 */
public final class SliceEncoder {

	private final String service;

	private long sentVersion;

	private String sentSection = "";

	private SliceEncoder(String service) {
		this.service = Objects.requireNonNull(service, "service is null");
	}

	/**
	 * Returns the sender of a new link.
	 * @param service the service of the sidecar's upstream
	 * @return a sender that has sent nothing
	 */
	public static SliceEncoder of(String service) {
		return new SliceEncoder(service);
	}

	/**
	 * Tells what to send now that a contract is in force. Two threads that bring two
	 * contracts at once may come in either order; the older is not sent after the newer.
	 * @param contract the contract
	 * @return the slice, or empty if this link was told of this version or a newer one
	 */
	public synchronized Optional<Slice> next(Contract contract) {
		if (contract.version() <= this.sentVersion) {
			return Optional.empty();
		}
		String section = contract.section(this.service).orElse("");
		boolean known = this.sentVersion > 0 && section.equals(this.sentSection);
		this.sentVersion = contract.version();
		this.sentSection = section;
		return Optional
			.of(new Slice(contract.version(), this.service, known ? Optional.empty() : Optional.of(section)));
	}

}
