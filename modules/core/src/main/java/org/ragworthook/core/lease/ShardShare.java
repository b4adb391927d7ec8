package org.ragworthook.core.lease;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * How many shards an entry should hold, worked out by each entry alone from the list of
 * entries. The shares of all entries sum to the number of shards.
 *
 * @param count how many shards to hold
 * @param firstShard the shard at which to start to look for free ones, so that entries
 * which start together seldom reach for the same shard
 */
public record ShardShare(int count, int firstShard) {

	/**
	 * Works out an entry's share.
	 * @param shards how many shards there are
	 * @param entries the identities of the entries
	 * @param self the identity of this entry, which counts even if the list lacks it
	 * @return the share
	 */
	public static ShardShare of(int shards, Set<String> entries, String self) {
		TreeSet<String> all = new TreeSet<>(Objects.requireNonNull(entries, "entries is null"));
		all.add(Objects.requireNonNull(self, "self is null"));
		int rank = all.headSet(self).size();
		int each = shards / all.size();
		int rest = shards % all.size();
		int count = (rank < rest) ? each + 1 : each;
		return new ShardShare(count, Math.min(shards, rank * each + Math.min(rank, rest)));
	}

}
