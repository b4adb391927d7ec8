package org.ragworthook.gateway.upstream;

import java.util.Collection;
import java.util.Optional;

/**
 * Scores pairs of a process and a thing, so that all processes order each other in the
 * same way for each thing without a word, and in ever other ways for other things.
 */
public final class RendezvousHash {

	private static final long MIX = 0x9E3779B97F4A7C15L;

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a pair.
	 * @param process the name of a process
	 * @param thing a hash of the thing
	 * @return the score, the same in every process
	 */
	public static long score(String process, int thing) {
		long hash = process.hashCode() * MIX ^ thing;
		hash = (hash ^ (hash >>> 32)) * MIX;
		hash = (hash ^ (hash >>> 29)) * MIX;
		return hash ^ (hash >>> 32);
	}

	/**
	 * Returns the process that comes first for a thing.
	 * @param processes the names of the processes
	 * @param thing a hash of the thing
	 * @return the one with the highest score, of equals the first by name; empty if there
	 * is none
	 */
	public static Optional<String> owner(Collection<String> processes, int thing) {
		String best = null;
		long most = Long.MIN_VALUE;
		for (String name : processes) {
			long score = score(name, thing);
			if (best == null || score > most || (score == most && name.compareTo(best) < 0)) {
				best = name;
				most = score;
			}
		}
		return Optional.ofNullable(best);
	}

}
