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
 * Refuses orders with an older fencing number than the highest seen.
 * <p>
 * A leader that was paused goes on giving orders after another has taken over. Some
 * engines carry out whatever they are told; one would notice a model unloaded that the
 * new leader has just loaded. A sidecar that restarts has forgotten the highest number,
 * so before the first order of a shard it reads the shard's lease back from the platform.
 * While it cannot, it refuses orders; requests go on being served meanwhile.
 */
public final class OrderFence {

	private final ObjectStore store;

	private final String group;

	private final Map<Integer, Long> highest = new ConcurrentHashMap<>();

	private OrderFence(ObjectStore store, String group) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.group = Objects.requireNonNull(group, "group is null");
	}

	/**
	 * Returns a fence that has seen no order.
	 * @param store where the leases are
	 * @param group the first part of the leases' names, before the shard's number
	 * @return the fence
	 */
	public static OrderFence of(ObjectStore store, String group) {
		return new OrderFence(store, group);
	}

	/**
	 * Lets an order pass or refuses it.
	 * @param shard the shard of the fleet that the order's leader holds
	 * @param epoch the order's fencing number
	 * @return done if the order may be passed on; fails with {@code ORDER_FENCED} if a
	 * newer leader is known, and with {@code ORDER_NO_FENCE} if it cannot be read back
	 * whether there is one
	 */
	public CompletableFuture<Void> admit(int shard, long epoch) {
		CompletableFuture<Void> known = this.highest.containsKey(shard) ? CompletableFuture.completedFuture(null)
				: readBack(shard);
		return known.thenRun(() -> raise(shard, epoch));
	}

	/**
	 * Tells whether an order is still the newest leader's. An order waits while the one
	 * before it is carried out, and a newer leader may come meanwhile.
	 * @param shard the shard of the fleet
	 * @param epoch the order's fencing number
	 * @return whether no higher number has been seen
	 */
	public boolean isCurrent(int shard, long epoch) {
		return this.highest.getOrDefault(shard, Long.MAX_VALUE) <= epoch;
	}

	private void raise(int shard, long epoch) {
		long seen = this.highest.merge(shard, epoch, Math::max);
		if (seen > epoch) {
			throw new OrderException(ErrorCode.ORDER_FENCED,
					"the order's fencing number is " + epoch + ", but " + seen + " was seen");
		}
	}

	private CompletableFuture<Void> readBack(int shard) {
		String name = this.group + "-" + shard;
		return this.store.read(Lease.key(name)).handle((found, failure) -> {
			if (failure != null) {
				throw new OrderException(ErrorCode.ORDER_NO_FENCE, "lease " + name + " could not be read back",
						failure);
			}
			Stored stored = found
				.orElseThrow(() -> new OrderException(ErrorCode.ORDER_NO_FENCE, "there is no lease " + name));
			this.highest.merge(shard, Lease.parse(name, stored.text()).epoch(), Math::max);
			return null;
		});
	}

}
