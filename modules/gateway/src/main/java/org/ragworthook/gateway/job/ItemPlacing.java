package org.ragworthook.gateway.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * Brings items to upstreams with room, and takes them away where online requests need the
 * slots. What room is, {@link SlotSharing} decides, and who comes first
 * {@link ItemOrder}. Used on the event loop.
 */
final class ItemPlacing {

	private static final EventLog LOG = EventLog.of(ItemPlacing.class);

	private final JobRunner.Dependencies parts;

	private final ItemOrder order;

	private final ItemRun.ItemListener listener;

	ItemPlacing(JobRunner.Dependencies parts, ItemOrder order, ItemRun.ItemListener listener) {
		this.parts = Objects.requireNonNull(parts, "parts is null");
		this.order = Objects.requireNonNull(order, "order is null");
		this.listener = Objects.requireNonNull(listener, "listener is null");
	}

	/**
	 * Starts items while there is room.
	 * @param ready items that may be started
	 * @return whether some wait for a slot
	 */
	boolean place(List<ItemRun> ready) {
		this.order.arrange(ready, this.parts.wallMillis().get());
		Map<String, Integer> starts = new HashMap<>();
		SlotClaimOrder turns = this.parts.turns().get();
		for (ItemRun run : ready) {
			place(run, starts, turns);
		}
		return ready.stream().anyMatch((run) -> !run.running());
	}

	private void place(ItemRun run, Map<String, Integer> starts, SlotClaimOrder turns) {
		Optional<Configuration> configuration = this.parts.configuration().current();
		Optional<Route> route = configuration.flatMap((present) -> present.route(run.job().host(), run.job().path()));
		if (route.isEmpty()) {
			return;
		}
		String service = route.get().pickService(this.parts.draw().getAsDouble());
		List<TrackedUpstream> fleet = this.parts.upstreams().serving(service);
		int left = starts.computeIfAbsent(service, (name) -> SlotSharing.maxBatchStarts(fleet, turns.runners().size()));
		if (left <= 0) {
			return;
		}
		long now = this.parts.ticker().nanos();
		Optional<TrackedUpstream> choice = this.parts.placement()
			.choose(fleet, Set.of(), (candidate) -> SlotSharing.hasBatchCapacity(candidate, turns, now));
		starts.put(service, choice.isPresent() ? left - 1 : 0);
		choice.ifPresent((upstream) -> upstream.recordBatchStart(now));
		choice.ifPresent(
				(upstream) -> run.start(upstream, this.parts.connections(), this.parts.headers(), this.listener));
	}

	/**
	 * Takes items away from upstreams whose slots online requests need, those that come
	 * last in the order of items first.
	 * @param runs gives the items of this process
	 */
	void giveWay(Supplier<List<ItemRun>> runs) {
		for (TrackedUpstream upstream : this.parts.upstreams().all()) {
			int count = SlotSharing.itemsToPreempt(upstream);
			if (count > 0) {
				giveWay(upstream, count, runs.get());
			}
		}
	}

	private void giveWay(TrackedUpstream upstream, int count, List<ItemRun> runs) {
		this.parts.metrics().itemsPreempted(count);
		upstream.recordPreemption(this.parts.ticker().nanos());
		LOG.info("batch_yields", "upstream", upstream, "items", count, "online", upstream.onlineLoad(), "batch",
				upstream.batchLoad());
		runs.stream()
			.filter((run) -> run.at(upstream))
			.sorted(this.order.comparator(this.parts.wallMillis().get()).reversed())
			.limit(count)
			.forEach(ItemRun::stop);
	}

	/**
	 * Takes items out of the queues of engines. An engine can be fuller than is known:
	 * another process that runs jobs is cut off from this one, or somebody else uses it.
	 * Items that wait there hold up every online request that comes after them; one
	 * notices first events after half a second while two halves of the processes run jobs
	 * without hearing each other.
	 * @param runs the items of this process
	 */
	void leaveQueues(List<ItemRun> runs) {
		long now = this.parts.ticker().nanos();
		for (ItemRun run : runs) {
			run.queuedAt(now, this.parts.queuePatience()).ifPresent((upstream) -> {
				LOG.info("item_left_queue", "job", run.job().id(), "item", run.item().id(), "upstream", upstream,
						"load", upstream.load());
				run.leaveQueue();
				upstream.recordPreemption(now);
			});
		}
	}

}
