package org.ragworthook.gateway.upstream;

import java.util.Collection;
import java.util.Optional;

/**
 * Rendezvous hashing (highest random weight): all processes agree on an order of
 * processes for each key without communication, and the order differs between keys.
 */
public final class RendezvousHash {

	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a process for a key.
	 * @param processName the name of the process
	 * @param key the key, for example a hash
	 * @return the score, the same in every process
	 */
	public static long score(String processName, int key) {
		long hash = processName.hashCode() * MULTIPLIER ^ key;
		hash = (hash ^ (hash >>> 32)) * MULTIPLIER;
		hash = (hash ^ (hash >>> 29)) * MULTIPLIER;
		return hash ^ (hash >>> 32);
	}

	/**
	 * Returns the process with the highest score for a key.
	 * @param processes the names of the processes
	 * @param key the key, for example a hash
	 * @return the name of the process, at equal scores the alphabetically first one;
	 * empty if there are no processes
	 */
	public static Optional<String> owner(Collection<String> processes, int key) {
		String owner = null;
		long highestScore = Long.MIN_VALUE;
		for (String name : processes) {
			long score = score(name, key);
			if (owner == null || score > highestScore || (score == highestScore && name.compareTo(owner) < 0)) {
				owner = name;
				highestScore = score;
			}
		}
		return Optional.ofNullable(owner);
	}

}
