package org.ragworthook.core.lease;

import java.util.concurrent.CompletableFuture;

/**
 * Is told which shards this process is in charge of.
 */
public interface ShardListener {

	/**
	 * Takes over a shard, or goes on with it after its lease had lapsed.
	 * @param shard the shard's number
	 * @param lease the lease with the epoch to act by
	 */
	void acquired(int shard, Lease lease);

	/**
	 * Stops work on a shard, whose lease has lapsed or was taken over.
	 * @param shard the shard's number
	 * @param lease the lease as it was held
	 */
	void lost(int shard, Lease lease);

	/**
	 * Brings a shard's work to a point from which another can go on. The lease is
	 * released afterwards.
	 * @param shard the shard's number
	 * @param lease the lease as it is held
	 * @return completes when the shard may be handed over
	 */
	CompletableFuture<Void> releasing(int shard, Lease lease);

}
