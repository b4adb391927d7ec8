package org.ragworthook.core.lease;

import java.util.concurrent.CompletableFuture;

/**
 * Receives notifications about the shards that this process holds.
 */
public interface ShardListener {

	/**
	 * Called when a shard has been acquired, or its lapsed lease has been renewed.
	 * @param shard the number of the shard
	 * @param lease the lease, whose epoch fences the work on the shard
	 */
	void acquired(int shard, Lease lease);

	/**
	 * Called when the lease of a shard has lapsed or was taken over; work on the shard
	 * must stop.
	 * @param shard the number of the shard
	 * @param lease the lease as it was held
	 */
	void lost(int shard, Lease lease);

	/**
	 * Called before a shard is released. The listener brings the work to a point from
	 * which another process can continue; the lease is released afterwards.
	 * @param shard the number of the shard
	 * @param lease the lease that is held
	 * @return completes when the shard may be released
	 */
	CompletableFuture<Void> releasing(int shard, Lease lease);

}
