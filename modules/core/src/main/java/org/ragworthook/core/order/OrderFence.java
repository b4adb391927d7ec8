package org.ragworthook.core.order;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.OrderException;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * Rejects orders whose fencing token is lower than the highest one seen.
 * <p>
 * A leader that was paused may continue to send orders after another has taken over, and
 * some engines execute any order, so that a model that the new leader has just loaded
 * could be unloaded. A restarted sidecar has lost the highest token, so before the first
 * order of a shard it reads the shard's lease from the platform. While the lease cannot
 * be read, orders are rejected; inference requests are still served.
 */
public final class OrderFence {

	private final ObjectStore store;

	private final String group;

	private final Map<Integer, Long> highestEpochs = new ConcurrentHashMap<>();

	private OrderFence(ObjectStore store, String group) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.group = Objects.requireNonNull(group, "group is null");
	}

	/**
	 * Returns a fence that has seen no order.
	 * @param store the store that holds the leases
	 * @param group the prefix of the lease names, before the shard number
	 * @return the fence
	 */
	public static OrderFence of(ObjectStore store, String group) {
		return new OrderFence(store, group);
	}

	/**
	 * Admits or rejects an order.
	 * @param shard the shard of the fleet that the sender of the order leads
	 * @param epoch the fencing token of the order
	 * @return completes if the order may be executed; fails with {@code ORDER_FENCED} if
	 * a newer leader is known, and with {@code ORDER_NO_FENCE} if the lease cannot be
	 * read
	 */
	public CompletableFuture<Void> admit(int shard, long epoch) {
		CompletableFuture<Void> leaseRead = this.highestEpochs.containsKey(shard)
				? CompletableFuture.completedFuture(null) : readLease(shard);
		return leaseRead.thenRun(() -> checkAndRaise(shard, epoch));
	}

	/**
	 * Returns whether an admitted order still comes from the latest leader. An order
	 * waits while the previous one is executed, and a newer leader may take over in the
	 * meantime.
	 * @param shard the shard of the fleet
	 * @param epoch the fencing token of the order
	 * @return whether no higher token has been seen
	 */
	public boolean isCurrent(int shard, long epoch) {
		return this.highestEpochs.getOrDefault(shard, Long.MAX_VALUE) <= epoch;
	}

	private void checkAndRaise(int shard, long epoch) {
		long seen = this.highestEpochs.merge(shard, epoch, Math::max);
		if (seen > epoch) {
			throw new OrderException(ErrorCode.ORDER_FENCED,
					"the order's fencing number is " + epoch + ", but " + seen + " was seen");
		}
	}

	private CompletableFuture<Void> readLease(int shard) {
		String name = this.group + "-" + shard;
		return this.store.read(Lease.key(name)).handle((found, failure) -> {
			if (failure != null) {
				throw new OrderException(ErrorCode.ORDER_NO_FENCE, "lease " + name + " could not be read back",
						failure);
			}
			Stored stored = found
				.orElseThrow(() -> new OrderException(ErrorCode.ORDER_NO_FENCE, "there is no lease " + name));
			this.highestEpochs.merge(shard, Lease.parse(name, stored.text()).epoch(), Math::max);
			return null;
		});
	}

}
