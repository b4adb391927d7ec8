package org.ragworthook.gateway.job;

/**
 * Sizes of texts in JSON. A text takes more bytes there than it has characters: quotes,
 * backslashes and control characters are escaped, and most characters outside ASCII take
 * two to four bytes.
 */
final class JsonSize {

	private JsonSize() {
	}

	/**
	 * Returns the size of a text in JSON that is written in UTF-8.
	 * @param text the text
	 * @return the size in bytes, without quotes
	 */
	static long utf8(String text) {
		long bytes = 0;
		for (int i = 0; i < text.length(); i++) {
			char next = text.charAt(i);
			if (next < 0x80) {
				bytes += escaped(next);
			}
			else if (next < 0x800) {
				bytes += 2;
			}
			else {
				// Each half of a surrogate pair takes two of its four bytes; a lone one
				// is
				// replaced.
				bytes += Character.isSurrogate(next) ? 2 : 3;
			}
		}
		return bytes;
	}

	/**
	 * Returns the maximum size of a text in JSON, whichever characters the encoder
	 * escapes: some escape all those outside ASCII.
	 * @param text the text
	 * @return the size in bytes, without quotes
	 */
	static long max(String text) {
		long bytes = 0;
		for (int i = 0; i < text.length(); i++) {
			bytes += max(text.charAt(i));
		}
		return bytes;
	}

	/**
	 * Returns the maximum size of a character in JSON.
	 * @param next the character
	 * @return the size in bytes
	 */
	static int max(char next) {
		return (next < 0x80) ? escaped(next) : 6;
	}

	/**
	 * Returns the maximum size of a text in a JSON document that is itself stored as a
	 * JSON string, so that what the document escapes is escaped once more.
	 * @param text the text
	 * @return the size in bytes, without quotes
	 */
	static long maxNested(String text) {
		long bytes = 0;
		for (int i = 0; i < text.length(); i++) {
			char next = text.charAt(i);
			int escaped = max(next);
			boolean quoted = next == '"' || next == '\\';
			bytes += (next >= 0x80 || escaped == 1) ? escaped : escaped + (quoted ? 2 : 1);
		}
		return bytes;
	}

	private static int escaped(char next) {
		return switch (next) {
			case '"', '\\', '\b', '\t', '\n', '\f', '\r' -> 2;
			default -> (next < 0x20) ? 6 : 1;
		};
	}

}
