package org.ragworthook.daemon.sidecar;

import java.util.HashMap;
import java.util.Map;

import org.ragworthook.wire.message.Item;

/**
 * The newest epoch known of each shard of the batch work.
 * <p>
 * An owner that was paused may go on sending items after another has taken its shard
 * over; one would notice by items that run twice. Items of an older epoch are therefore
 * not passed on.
 */
final class ItemFence {

	private final Map<Integer, Long> epochs = new HashMap<>();

	/**
	 * Learns of an epoch.
	 * @param shard the shard
	 * @param epoch its epoch
	 */
	void raise(int shard, long epoch) {
		this.epochs.merge(shard, epoch, Math::max);
	}

	/**
	 * Tells whether an item may be passed on, and learns of its epoch.
	 * @param item the item
	 * @return whether no newer epoch of its shard is known
	 */
	boolean admits(Item item) {
		raise(item.getShard(), item.getEpoch());
		return this.epochs.get(item.getShard()) == item.getEpoch();
	}

	/**
	 * Tells whether an item is of the newest epoch known.
	 * @param item the item
	 * @return whether it is not fenced off
	 */
	boolean current(Item item) {
		return item.getEpoch() >= this.epochs.getOrDefault(item.getShard(), 0L);
	}

}
