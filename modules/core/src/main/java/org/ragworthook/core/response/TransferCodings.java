package org.ragworthook.core.response;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Decides by its transfer codings whether the body of a response can be read.
 * <p>
 * A body in chunks is the only one that is decoded. With any other coding, such as
 * {@code gzip}, the bytes that are received are not those of the body, and forwarding
 * them without {@code Transfer-Encoding} would deliver another body.
 */
public final class TransferCodings {

	private static final String HEADER = "transfer-encoding";

	/** {@code identity} was a coding up to RFC 2616 and changes nothing. */
	private static final Set<String> READABLE = Set.of("chunked", "identity");

	private TransferCodings() {
	}

	/**
	 * Returns whether a body can be read.
	 * @param headers the headers of the response
	 * @return whether no coding but one is stated, which can be decoded
	 */
	public static boolean readable(Iterable<Map.Entry<String, String>> headers) {
		int stated = 0;
		for (Map.Entry<String, String> header : headers) {
			if (header.getKey().equalsIgnoreCase(HEADER)) {
				stated++;
				if (stated > 1 || !READABLE.contains(header.getValue().strip().toLowerCase(Locale.ROOT))) {
					return false;
				}
			}
		}
		return true;
	}

}
