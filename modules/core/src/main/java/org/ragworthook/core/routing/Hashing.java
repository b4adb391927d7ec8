package org.ragworthook.core.routing;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Hash functions with the same results in every process, so that all entries derive the
 * same hash ring and subsets.
 */
final class Hashing {

	private Hashing() {
	}

	static long of(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

	/**
	 * Combines two hashes with the finalizer of MurmurHash3.
	 * @param first a hash
	 * @param second a hash
	 * @return the combined hash
	 */
	static long mix(long first, long second) {
		long hash = first ^ Long.rotateLeft(second, 32) ^ (second * 0x9E3779B97F4A7C15L);
		hash ^= hash >>> 33;
		hash *= 0xFF51AFD7ED558CCDL;
		hash ^= hash >>> 33;
		hash *= 0xC4CEB9FE1A85EC53L;
		return hash ^ (hash >>> 33);
	}

}
