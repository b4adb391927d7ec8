package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.List;

/**
 * Shares the slots of an upstream between online requests and batch items.
 * <p>
 * Upstreams run requests in order of arrival, without priorities: an online request that
 * arrives at a full upstream waits until a request there ends, and a batch item runs
 * several times as long as a typical online request. Batch items therefore fill free
 * slots and are preempted as soon as online requests need the slots. A preempted item is
 * resumed later after its last event, for which its tokens have to be computed again.
 */
public final class SlotSharing {

	/**
	 * Online requests sent to an upstream beyond its slots, so that no slot is left
	 * empty. Where speeds differ, the depth follows from the time that they wait.
	 */
	private static final int QUEUE_DEPTH = 2;

	/**
	 * How long no batch items are started at an upstream after a preemption there, unless
	 * the upstreams of the service are slow.
	 */
	public static final Duration PREEMPTION_COOLDOWN = Duration.ofMillis(300);

	/** Time for which starts of this process may be missing from its peers' views. */
	private static final long MAX_REPORT_AGE_NANOS = 120_000_000;

	/** One of this many slots in use calls for a dispatcher. */
	private static final int SCARCE_SHARE = 2;

	/**
	 * One of this many slots in use calls for a dispatcher where speeds differ. At half
	 * of the capacity and reports 0.1 s late, 137 of 1,000 requests were late with 2, 9
	 * with 4 and 5 with 8.
	 */
	private static final int SCARCE_SHARE_OF_UNEVEN = 8;

	/** Slots that batch items leave free for each online request in progress. */
	private static final double HEADROOM_PER_REQUEST = 0.13;

	private SlotSharing() {
	}

	/**
	 * Returns whether an upstream has capacity for an online request. Batch items do not
	 * count, since they are preempted.
	 * @param upstream the upstream
	 * @return whether it has capacity
	 */
	public static boolean hasOnlineCapacity(TrackedUpstream upstream) {
		int queueDepth = upstream.speedProfile().map(SpeedProfile::queueDepth).orElse(QUEUE_DEPTH);
		return upstream.onlineLoad() < upstream.slots() + queueDepth;
	}

	/**
	 * Returns whether an online request would start as soon as batch items have been
	 * preempted.
	 * @param upstream the upstream
	 * @return whether online requests leave a slot free
	 */
	public static boolean hasFreeOnlineSlot(TrackedUpstream upstream) {
		return upstream.onlineLoad() < upstream.slots();
	}

	/**
	 * Returns whether slots are scarce for online requests. Entries that choose upstreams
	 * themselves then converge on the same upstream, so they ask the dispatcher instead.
	 * Where speeds differ, they converge on the fastest upstreams while most of the
	 * others are still free.
	 * @param fleet the upstreams of a service
	 * @return whether online requests use at least half of the slots, or an eighth where
	 * requests are placed by expected time; false if there are no slots, since no
	 * dispatcher could grant one
	 */
	public static boolean slotsScarce(List<TrackedUpstream> fleet) {
		int slots = 0;
		int onlineRequests = 0;
		int share = SCARCE_SHARE;
		for (TrackedUpstream upstream : fleet) {
			if (upstream.speedProfile().isPresent()) {
				share = SCARCE_SHARE_OF_UNEVEN;
			}
			if (upstream.inUse()) {
				slots += upstream.slots();
				onlineRequests += upstream.onlineLoad();
			}
		}
		return slotsScarce(slots, onlineRequests, share);
	}

	/**
	 * Returns whether slots are scarce for online requests.
	 * @param slots the number of slots
	 * @param onlineRequests the number of slots that online requests use
	 * @return whether they use at least half of the slots; false if there are no slots
	 */
	public static boolean slotsScarce(int slots, int onlineRequests) {
		return slotsScarce(slots, onlineRequests, SCARCE_SHARE);
	}

	private static boolean slotsScarce(int slots, int onlineRequests, int share) {
		return slots > 0 && share * onlineRequests >= slots;
	}

	/**
	 * Returns whether a request would start immediately.
	 * @param upstream the upstream
	 * @return whether a slot is free
	 */
	public static boolean hasFreeSlot(TrackedUpstream upstream) {
		return upstream.load() < upstream.slots();
	}

	/**
	 * Returns whether this process may start a batch item at an upstream. Free slots are
	 * dealt to the processes in their claim order: each process learns late of the items
	 * that the others start, so without an order all of them would claim the same slot.
	 * @param upstream the upstream
	 * @param claimOrder the claim order of the processes that run batch items
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return whether a free slot may be claimed and the cooldown after the last
	 * preemption is over
	 */
	public static boolean hasBatchCapacity(TrackedUpstream upstream, SlotClaimOrder claimOrder, long nowNanos) {
		return hasBatchCapacity(upstream, claimOrder, nowNanos, PREEMPTION_COOLDOWN);
	}

	/**
	 * Returns whether this process may start a batch item at an upstream, with another
	 * cooldown than the usual one.
	 * @param upstream the upstream
	 * @param claimOrder the claim order of the processes that run batch items
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param cooldown how long no items are started after a preemption
	 * @return whether a free slot may be claimed and the cooldown after the last
	 * preemption is over
	 */
	public static boolean hasBatchCapacity(TrackedUpstream upstream, SlotClaimOrder claimOrder, long nowNanos,
			Duration cooldown) {
		if (!hasFreeSlot(upstream) || upstream.preemptedSince(nowNanos - cooldown.toNanos())) {
			return false;
		}
		int unreportedStarts = upstream.batchStartsSince(nowNanos - MAX_REPORT_AGE_NANOS);
		int freeSlots = upstream.slots() - upstream.load() + unreportedStarts;
		return unreportedStarts < claimOrder.claimableSlots(freeSlots, upstream.key());
	}

	/**
	 * Returns how many batch items a process may start now, over all upstreams of a
	 * service. Leaves some slots free for upcoming online requests, since a preempted
	 * item has to compute its tokens again.
	 * @param fleet the upstreams of the service
	 * @param runnerCount the number of processes that run batch items, which share the
	 * spare slots
	 * @param slotsForRise free slots that the next rise of online demand needs; 0 if none
	 * is expected
	 * @return the number of items
	 */
	public static int maxBatchStarts(List<TrackedUpstream> fleet, int runnerCount, int slotsForRise) {
		int freeSlots = 0;
		int onlineRequests = 0;
		for (TrackedUpstream upstream : fleet) {
			freeSlots += Math.max(0, upstream.slots() - upstream.load());
			onlineRequests += upstream.onlineLoad();
		}
		int headroom = (int) Math.ceil(onlineRequests * HEADROOM_PER_REQUEST);
		int spareSlots = freeSlots - Math.max(headroom, slotsForRise);
		return (spareSlots <= 0) ? 0 : (spareSlots + runnerCount - 1) / Math.max(1, runnerCount);
	}

	/**
	 * Returns how many of its own batch items a process has to preempt at an upstream:
	 * the load in excess of the slots, less what peers preempt before it, so that one
	 * slot costs one item. The stated slots count: the number in use is this process's
	 * estimate, and processes would preempt each other's items by different ones.
	 * @param upstream the upstream
	 * @return the number of items
	 */
	public static int itemsToPreempt(TrackedUpstream upstream) {
		int excess = upstream.load() - upstream.descriptor().slots() - upstream.peerItemsYieldingFirst();
		return Math.max(0, Math.min(excess, upstream.ownLoad(WorkClass.BATCH)));
	}

	/**
	 * Returns whether an online request that is about to be sent needs the slot of a
	 * batch item, by the stated slots as above.
	 * @param upstream the upstream that the request is sent to
	 * @return whether a batch item has to be preempted immediately
	 */
	public static boolean needsPreemption(TrackedUpstream upstream) {
		return upstream.load() >= upstream.descriptor().slots() && upstream.batchLoad() > 0;
	}

}
