package org.ragworthook.core.response;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds the status line of another response in the head of one.
 * <p>
 * A server that breaks off in the middle of a head and then sends a second response on
 * the same connection leaves its clients a head that is joined from both: a parser of
 * HTTP takes the second status line for a part of a header or of the reason phrase, and
 * the first status with the second body.
 */
public final class JoinedHeads {

	/** A legal value may name a version, as {@code Via} does, but no status after it. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

	/** No legal name has a slash. */
	private static final String VERSION = "HTTP/1.";

	private JoinedHeads() {
	}

	/**
	 * Returns whether a head is joined from two.
	 * @param reason the reason phrase, or {@code null} if there is none
	 * @param headers the headers
	 * @return whether a part of it looks like a status line
	 */
	public static boolean joined(String reason, Iterable<Map.Entry<String, String>> headers) {
		if (holdsStatusLine(Optional.ofNullable(reason).orElse(""))) {
			return true;
		}
		for (Map.Entry<String, String> header : headers) {
			if (header.getKey().contains(VERSION) || holdsStatusLine(header.getValue())) {
				return true;
			}
		}
		return false;
	}

	private static boolean holdsStatusLine(String text) {
		return STATUS_LINE.matcher(text).find();
	}

}
