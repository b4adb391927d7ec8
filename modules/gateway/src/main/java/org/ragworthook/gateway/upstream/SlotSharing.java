package org.ragworthook.gateway.upstream;

import java.util.List;

/**
 * Shares the slots of an upstream between online requests and batch items.
 * <p>
 * Engines admit in order of arrival and know no priorities: an online request that
 * arrives at a full engine waits until some run ends, and an item of a batch job lasts
 * several times as long as a usual request. So batch fills the slots that are free and
 * gives them back as soon as online requests need them; an item that is preempted goes on
 * later after its last event, for which its tokens are read anew.
 */
public final class SlotSharing {

	/**
	 * Online requests that an engine gets beyond its slots, so that none stands empty.
	 */
	private static final int QUEUE_DEPTH = 2;

	/** How long batch keeps away from an upstream where it has just been preempted. */
	private static final long PREEMPTION_COOLDOWN_NANOS = 300_000_000;

	/** Age up to which starts of this process may be missing from its peers' views. */
	private static final long MAX_REPORT_AGE_NANOS = 120_000_000;

	/** Slots that batch leaves free for each online request in progress. */
	private static final double HEADROOM_PER_REQUEST = 0.13;

	private SlotSharing() {
	}

	/**
	 * Tells whether an upstream has room for an online request. Batch items there do not
	 * count, since they yield.
	 * @param upstream the upstream
	 * @return whether it has
	 */
	public static boolean hasOnlineCapacity(TrackedUpstream upstream) {
		return upstream.onlineLoad() < upstream.descriptor().slots() + QUEUE_DEPTH;
	}

	/**
	 * Tells whether an online request would begin to run as soon as batch has yielded.
	 * @param upstream the upstream
	 * @return whether online requests leave a slot there
	 */
	public static boolean hasFreeOnlineSlot(TrackedUpstream upstream) {
		return upstream.onlineLoad() < upstream.descriptor().slots();
	}

	/**
	 * Tells whether slots are scarce for online requests. Entries that choose for
	 * themselves then meet at the same engine, and ask the dispatcher instead.
	 * @param fleet the upstreams of a service
	 * @return whether online requests have half of the slots or more; not if there are
	 * none, since nobody can give any
	 */
	public static boolean slotsScarce(List<TrackedUpstream> fleet) {
		int slots = 0;
		int online = 0;
		for (TrackedUpstream upstream : fleet) {
			slots += upstream.descriptor().slots();
			online += upstream.onlineLoad();
		}
		return slots > 0 && 2 * online >= slots;
	}

	/**
	 * Tells whether a request would begin to run at once.
	 * @param upstream the upstream
	 * @return whether a slot is free
	 */
	public static boolean hasFreeSlot(TrackedUpstream upstream) {
		return upstream.load() < upstream.descriptor().slots();
	}

	/**
	 * Tells whether an upstream has room for a batch item of this process. The slots that
	 * are free there are dealt out in turn: each process learns late what the others
	 * start, and all would take the same slot.
	 * @param upstream the upstream
	 * @param turns the processes that run jobs
	 * @param nowNanos the ticker's reading
	 * @return whether it has
	 */
	public static boolean hasBatchCapacity(TrackedUpstream upstream, SlotClaimOrder turns, long nowNanos) {
		if (!hasFreeSlot(upstream) || upstream.preemptedSince(nowNanos - PREEMPTION_COOLDOWN_NANOS)) {
			return false;
		}
		int taken = upstream.batchStartsSince(nowNanos - MAX_REPORT_AGE_NANOS);
		int free = upstream.descriptor().slots() - upstream.load() + taken;
		return taken < turns.share(free, upstream.key());
	}

	/**
	 * Returns how many batch items a process may start now, over all upstreams of a
	 * service. Some slots are left free for the online requests to come, since a
	 * preempted item has to read its tokens anew.
	 * @param fleet the upstreams of the service
	 * @param processes how many processes start items, each of which takes its share
	 * @return how many items
	 */
	public static int maxBatchStarts(List<TrackedUpstream> fleet, int processes) {
		int free = 0;
		int online = 0;
		for (TrackedUpstream upstream : fleet) {
			free += Math.max(0, upstream.descriptor().slots() - upstream.load());
			online += upstream.onlineLoad();
		}
		int spare = free - (int) Math.ceil(online * HEADROOM_PER_REQUEST);
		return (spare <= 0) ? 0 : (spare + processes - 1) / Math.max(1, processes);
	}

	/**
	 * Returns how many of its own items a process is to take away from an upstream: what
	 * is over, less what others take away before it, so that one slot costs one item.
	 * @param upstream the upstream
	 * @return how many items
	 */
	public static int itemsToPreempt(TrackedUpstream upstream) {
		int over = upstream.load() - upstream.descriptor().slots() - upstream.peerItemsYieldingFirst();
		return Math.max(0, Math.min(over, upstream.ownLoad(WorkClass.BATCH)));
	}

	/**
	 * Tells whether an online request that is about to be sent needs a slot of a batch
	 * item.
	 * @param upstream where it is sent
	 * @return whether batch is to be told at once
	 */
	public static boolean needsPreemption(TrackedUpstream upstream) {
		return upstream.load() >= upstream.descriptor().slots() && upstream.batchLoad() > 0;
	}

}
