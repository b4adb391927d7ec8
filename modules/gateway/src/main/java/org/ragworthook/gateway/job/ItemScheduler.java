package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.account.AccountCounts;
import org.ragworthook.gateway.observe.ObservedSpeeds;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * Starts items on upstreams that have room, and preempts them where online requests need
 * the slots. {@link SlotSharing} decides how much room there is, and {@link ItemOrder}
 * which item comes first. Used on the event loop.
 */
final class ItemScheduler {

	private static final EventLog LOG = EventLog.of(ItemScheduler.class);

	/**
	 * How long an item waits for an upstream that can continue its output while others
	 * have room: a third of the duration of a typical item.
	 */
	private static final Duration MAX_ORIGIN_WAIT = Duration.ofSeconds(2);

	/** How often items are placed while this process is behind. */
	private static final Duration PLACEMENT_INTERVAL_WHILE_BEHIND = Duration.ofSeconds(1);

	private final JobRunner.Dependencies dependencies;

	private final ItemOrder order;

	private final FairItemOrder fairOrder;

	private final ItemRun.RunListener listener;

	private long placedWhileBehindNanos;

	/** Items that were started, including some that stopped after the last placement. */
	private final Set<ItemRun> started = new HashSet<>();

	/** Items of each account that found no slot at the last placement. */
	private Map<Integer, Integer> waiting = Map.of();

	ItemScheduler(JobRunner.Dependencies dependencies, ItemOrder order, ItemRun.RunListener listener) {
		this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
		this.order = Objects.requireNonNull(order, "order is null");
		this.fairOrder = new FairItemOrder(order);
		this.listener = Objects.requireNonNull(listener, "listener is null");
		this.placedWhileBehindNanos = dependencies.ticker().nanos();
	}

	/**
	 * Starts items while there is room. A process that is behind starts none and claims
	 * no slots, so that the other processes get them.
	 * @param ready the items that may be started; sorted in place
	 * @return whether some of them still wait for a slot
	 */
	boolean place(List<ItemRun> ready) {
		this.started.removeIf((run) -> !run.running());
		if (this.dependencies.behind().getAsBoolean() && !mayStartWhileBehind()) {
			this.waiting = Map.of();
			return false;
		}
		boolean shared = this.dependencies.accounts().active();
		if (shared) {
			this.fairOrder.sort(ready, this.dependencies.wallMillis().get(), this.dependencies.accounts().batchSlots());
		}
		else {
			this.order.sort(ready, this.dependencies.wallMillis().get());
		}
		Map<String, Integer> remainingStarts = new HashMap<>();
		SlotClaimOrder slotClaimOrder = this.dependencies.slotClaimOrder().get();
		for (ItemRun run : ready) {
			place(run, remainingStarts, slotClaimOrder);
		}
		this.waiting = shared ? countByAccount(ready.stream().filter((run) -> !run.running())) : Map.of();
		return ready.stream().anyMatch((run) -> !run.running());
	}

	/**
	 * Returns whether to place items although this process is behind. Its items would
	 * otherwise never run if all processes are behind, or there is no other one.
	 * @return whether {@link #PLACEMENT_INTERVAL_WHILE_BEHIND} has passed
	 */
	private boolean mayStartWhileBehind() {
		long now = this.dependencies.ticker().nanos();
		if (now - this.placedWhileBehindNanos < PLACEMENT_INTERVAL_WHILE_BEHIND.toNanos()) {
			return false;
		}
		this.placedWhileBehindNanos = now;
		return true;
	}

	private static Map<Integer, Integer> countByAccount(Stream<ItemRun> runs) {
		Map<Integer, Integer> counts = new HashMap<>();
		runs.forEach((run) -> counts.merge(run.accountTag(), 1, Integer::sum));
		return counts;
	}

	/**
	 * Returns the items of client accounts that run and that wait for a slot.
	 * @return the counts by the account's tag; empty while there are no accounts
	 */
	Map<Integer, AccountCounts> accountCounts() {
		if (!this.dependencies.accounts().active()) {
			return Map.of();
		}
		this.started.removeIf((run) -> !run.running());
		Map<Integer, AccountCounts> counts = new HashMap<>();
		countByAccount(this.started.stream())
			.forEach((tag, running) -> counts.put(tag, new AccountCounts(0, running, 0)));
		this.waiting.forEach((tag, items) -> counts.merge(tag, new AccountCounts(0, 0, items), AccountCounts::plus));
		return counts;
	}

	private void place(ItemRun run, Map<String, Integer> remainingStarts, SlotClaimOrder slotClaimOrder) {
		Optional<Configuration> configuration = this.dependencies.configuration().current();
		Optional<Route> route = configuration.flatMap((present) -> present.route(run.job().host(), run.job().path()));
		if (route.isEmpty()) {
			return;
		}
		String service = service(run, route.get());
		List<TrackedUpstream> fleet = this.dependencies.upstreams().serving(service);
		int remaining = remainingStarts.computeIfAbsent(service, (name) -> SlotSharing.maxBatchStarts(fleet,
				slotClaimOrder.runners().size(), this.dependencies.slotsForRise().applyAsInt(name)));
		if (remaining <= 0) {
			return;
		}
		long now = this.dependencies.ticker().nanos();
		Duration cooldown = this.dependencies.speeds().times(service).pause(SlotSharing.PREEMPTION_COOLDOWN);
		Placement.CapacityCheck room = (candidate) -> SlotSharing.hasBatchCapacity(candidate, slotClaimOrder, now,
				cooldown);
		boolean noneLeft = !fleet.isEmpty() && fleet.stream().noneMatch(run::continuedBy);
		boolean noRoom = run.waitedForOrigin(now, MAX_ORIGIN_WAIT) && fleet.stream().anyMatch(room::hasCapacity)
				&& fleet.stream().filter(run::continuedBy).noneMatch(room::hasCapacity);
		if (noneLeft || noRoom) {
			run.restart();
		}
		Optional<TrackedUpstream> chosen = this.dependencies.placement()
			.chooseForItem(fleet, (candidate) -> run.continuedBy(candidate) && room.hasCapacity(candidate));
		if (chosen.isPresent()) {
			remainingStarts.put(service, remaining - 1);
		}
		else if (run.origin().isEmpty()) {
			remainingStarts.put(service, 0);
		}
		chosen.ifPresent((upstream) -> upstream.recordBatchStart(now));
		chosen.ifPresent((upstream) -> this.started.add(run));
		chosen.ifPresent((upstream) -> run.start(upstream, this.dependencies.connections(), this.dependencies.headers(),
				this.listener));
	}

	/**
	 * Returns the service to run an item at: the one that wrote its output so far, if an
	 * upstream there can continue it.
	 * @param run the item
	 * @param route its route
	 * @return the name of the service
	 */
	private String service(ItemRun run, Route route) {
		return run.origin()
			.map(StreamOrigin::service)
			.filter(route::leadsTo)
			.filter((service) -> this.dependencies.upstreams().serving(service).stream().anyMatch(run::continuedBy))
			.orElseGet(() -> route.pickService(this.dependencies.random().getAsDouble()));
	}

	/**
	 * Preempts items on upstreams whose slots online requests need, those of the lowest
	 * priority first.
	 * @param runs gives the items of this process
	 */
	void yieldSlots(Supplier<List<ItemRun>> runs) {
		for (TrackedUpstream upstream : this.dependencies.upstreams().all()) {
			int count = SlotSharing.itemsToPreempt(upstream);
			if (count > 0) {
				yieldSlots(upstream, count, runs.get());
			}
		}
	}

	private void yieldSlots(TrackedUpstream upstream, int count, List<ItemRun> runs) {
		this.dependencies.metrics().itemsPreempted(count);
		upstream.recordPreemption(this.dependencies.ticker().nanos());
		LOG.info("batch_yields", "upstream", upstream, "items", count, "online", upstream.onlineLoad(), "batch",
				upstream.batchLoad());
		List<ItemRun> running = new ArrayList<>(runs.stream().filter((run) -> run.runningAt(upstream)).toList());
		long nowMillis = this.dependencies.wallMillis().get();
		if (this.dependencies.accounts().active()) {
			this.fairOrder.sortRunning(running, nowMillis, this.dependencies.accounts().batchSlots());
			Collections.reverse(running);
		}
		else {
			running.sort(this.order.comparator(nowMillis).reversed());
		}
		running.stream().limit(count).forEach(ItemRun::stop);
	}

	/**
	 * Withdraws items that wait in the queues of engines. An engine can be fuller than
	 * this process knows, because another process that runs jobs is partitioned from this
	 * one, or because the engine has other users. Items in its queue delay every online
	 * request that arrives after them: with the processes that run jobs split into two
	 * halves that did not hear each other, first events came half a second late.
	 * @param runs the items of this process
	 */
	void withdrawQueued(List<ItemRun> runs) {
		long now = this.dependencies.ticker().nanos();
		for (ItemRun run : runs) {
			run.queuedTooLongAt(now, this::maxQueueTime).ifPresent((upstream) -> {
				LOG.info("item_left_queue", "job", run.job().id(), "item", run.item().id(), "upstream", upstream,
						"load", upstream.load());
				run.withdraw();
				upstream.recordPreemption(now);
			});
		}
	}

	/**
	 * Ends runs whose responses have begun and make no progress. An upstream may have
	 * lost an item whose connection stays open; without a limit, the item would be
	 * neither completed nor given up until its retention period is over. The item resumes
	 * after its last event.
	 * @param runs the items of this process
	 */
	void endStalled(List<ItemRun> runs) {
		long now = this.dependencies.ticker().nanos();
		for (ItemRun run : runs) {
			run.stalled(now, this::stallTimeout).ifPresent((stalled) -> {
				LOG.info("item_stalled", "job", run.job().id(), "item", run.item().id(), "upstream", stalled.upstream(),
						"status", stalled.status(), "last_event", run.lastEvent(), "new_events", stalled.events(), "ms",
						stalled.silence().toMillis(), "limit_ms", stalled.limit().toMillis(), "load",
						stalled.upstream().load(), "upstream_silent",
						stalled.upstream().silentSince(now - stalled.silence().toNanos()));
				run.endStalled();
				stalled.upstream().recordPreemption(now);
				this.dependencies.metrics().attemptFailed("silent");
			});
		}
	}

	private Duration stallTimeout(TrackedUpstream upstream, RunProgress progress) {
		ObservedSpeeds speeds = this.dependencies.speeds();
		return ItemStallTimeout.of(speeds.times(upstream.descriptor().service()),
				speeds.gapMillis(upstream, upstream.load()), speeds.firstEventMillis(upstream), progress);
	}

	private Duration maxQueueTime(TrackedUpstream upstream) {
		return this.dependencies.speeds()
			.times(upstream.descriptor().service())
			.queueTime(this.dependencies.maxQueueTime());
	}

}
