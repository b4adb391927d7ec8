package org.ragworthook.core.response;

import java.util.Map;
import java.util.Optional;

/**
 * What makes a decoded head unusable although each of its lines complies with
 * {@link ResponseGrammar}.
 */
public enum HeadFault {

	/** It holds the status line of another response. */
	JOINED("the head holds that of another response"),

	/** The bytes of the body are those of another representation. */
	UNKNOWN_TRANSFER_CODING("the body has a transfer coding other than chunked");

	private final String detail;

	HeadFault(String detail) {
		this.detail = detail;
	}

	/**
	 * Returns what makes a head unusable.
	 * @param reason the reason phrase, or {@code null} if there is none
	 * @param headers the headers
	 * @return the fault, or empty if the response can be used
	 */
	public static Optional<HeadFault> of(String reason, Iterable<Map.Entry<String, String>> headers) {
		if (JoinedHeads.joined(reason, headers)) {
			return Optional.of(JOINED);
		}
		return TransferCodings.readable(headers) ? Optional.empty() : Optional.of(UNKNOWN_TRANSFER_CODING);
	}

	/**
	 * Returns a description for messages.
	 * @return the description
	 */
	public String detail() {
		return this.detail;
	}

}
