package org.ragworthook.daemon.fake;

import java.util.List;

/**
 * Bodies in two chunks, of which the lines around the second are malformed or unusual.
 */
public final class ChunkedBodies {

	/** Formats in which bytes before the second half of the body belong to no chunk. */
	public static final List<String> MALFORMED_BEFORE_DATA = List.of("%x 4\r\n%s\r\n0\r\n\r\n",
			"%x HTTP/1.1 200 OK\r\n%s\r\n0\r\n\r\n", "%x\u0001\r\n%s\r\n0\r\n\r\n", "%x;a\u0001\r\n%s\r\n0\r\n\r\n",
			" %x\r\n%s\r\n0\r\n\r\n");

	/** Formats in which bytes behind all data belong to no chunk or trailer. */
	public static final List<String> MALFORMED_BEHIND_DATA = List.of("%x\r\n%sxx\r\n0\r\n\r\n", "%x\r\n%s0\r\n\r\n",
			"%x\r\n%s\r\n0 x\r\n\r\n", "%x\r\n%s\r\n0\r\nno field\r\n\r\n", "%x\r\n%s\r\n0\r\nX-No te: 1\r\n\r\n",
			"%x\r\n%s\r\n0\r\nX-Note: a\u0001b\r\n\r\n", "%x\r\n%s\r\n0\r\n folded\r\n\r\n");

	/** Formats of sound bodies. */
	public static final List<String> UNUSUAL = List.of("%x\r\n%s\r\n0\r\n\r\n", "000%X\r\n%s\r\n000\r\n\r\n",
			"%x  \r\n%s\r\n0 \r\n\r\n", "%x;a=b\r\n%s\r\n0;c\r\n\r\n", "%x ; a = \"b c\"\r\n%s\r\n0\r\n\r\n",
			"%x\r\n%s\r\n0\r\nX-Sum: 1\r\nX-More:\r\n\r\n");

	private static final String CHUNK = "%x\r\n%s\r\n";

	private ChunkedBodies() {
	}

	/**
	 * Returns the end of a response, behind its other fields.
	 * @param format how the second half of the body is sent, with its length and its data
	 * @param body the body, of single-byte characters
	 * @return the field that states the chunks, the end of the head and the body
	 */
	public static String of(String format, String body) {
		String first = body.substring(0, body.length() / 2);
		String second = body.substring(first.length());
		return "Transfer-Encoding: chunked\r\n\r\n" + String.format(CHUNK, first.length(), first)
				+ String.format(format, second.length(), second);
	}

}
