package org.ragworthook.core.lease;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The number of shards that an entry should hold. Each entry computes it independently
 * from the list of entries; the shares of all entries add up to the number of shards.
 *
 * @param count the number of shards to hold
 * @param firstShard the shard at which to start the search for available ones, so that
 * entries that start at the same time rarely compete for the same shard
 */
public record ShardShare(int count, int firstShard) {

	/**
	 * Computes the share of an entry.
	 * @param shards the number of shards
	 * @param entries the ids of the entries
	 * @param self the id of this entry, which is included even if the list omits it
	 * @return the share
	 */
	public static ShardShare of(int shards, Set<String> entries, String self) {
		TreeSet<String> all = new TreeSet<>(Objects.requireNonNull(entries, "entries is null"));
		all.add(Objects.requireNonNull(self, "self is null"));
		int rank = all.headSet(self).size();
		int base = shards / all.size();
		int remainder = shards % all.size();
		int count = (rank < remainder) ? base + 1 : base;
		return new ShardShare(count, Math.min(shards, rank * base + Math.min(rank, remainder)));
	}

}
