package org.ragworthook.gateway.suspect;

import java.nio.charset.StandardCharsets;

/**
 * The 64-bit FNV-1a hash, with the length of each hashed value.
 */
final class Fnv {

	private static final long OFFSET = 0xcbf29ce484222325L;

	private static final long PRIME = 0x100000001b3L;

	private Fnv() {
	}

	static long hash(String text) {
		return hash(OFFSET, text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Adds bytes to a hash.
	 * @param start the hash so far
	 * @param bytes the bytes
	 * @return the hash of all bytes
	 */
	static long hash(long start, byte[] bytes) {
		long hash = start;
		for (byte next : bytes) {
			hash = (hash ^ (next & 0xff)) * PRIME;
		}
		return (hash ^ bytes.length) * PRIME;
	}

}
