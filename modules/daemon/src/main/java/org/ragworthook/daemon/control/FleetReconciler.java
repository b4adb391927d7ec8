package org.ragworthook.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.lease.ShardLeases;
import org.ragworthook.core.lease.ShardListener;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.reconcile.Demand;
import org.ragworthook.core.reconcile.Reconciler;
import org.ragworthook.core.reconcile.Step;
import org.ragworthook.core.reconcile.StepFailure;
import org.ragworthook.core.reconcile.StepLimits;
import org.ragworthook.core.reconcile.StepTracker;
import org.ragworthook.core.reconcile.UpstreamUsage;
import org.ragworthook.core.reconcile.UpstreamView;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.peer.LinkCalls;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Order;
import org.ragworthook.wire.message.OrderOutcome;

/**
 * Keeps the fleet to the text while this entry holds the reconciler's lease. Two entries
 * may each believe that they hold it; the sidecars' fences decide.
 */
final class FleetReconciler implements LinkListener, ShardListener, AutoCloseable {

	private static final String GROUP = SidecarControl.RECONCILER;

	private static final EventLog LOG = EventLog.of(FleetReconciler.class);

	private static final int SHARD = 0;

	private static final Duration ROUND = Duration.ofSeconds(1);

	private static final Duration LOOK = Duration.ofSeconds(5);

	private static final Duration OBSERVE = Duration.ofSeconds(30);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration ORDER_TIMEOUT = Duration.ofMinutes(10);

	private final ActiveContract inForce;

	private final Ticker ticker;

	private final Timers timers;

	private final Executor work;

	private final ShardLeases leases;

	private final LinkCalls calls;

	private final Map<Link, Observed> observed = new ConcurrentHashMap<>();

	private final Map<String, Given> given = new ConcurrentHashMap<>();

	private volatile Supplier<Map<String, UpstreamUsage>> usage = Map::of;

	private volatile Optional<Term> term = Optional.empty();

	private volatile boolean closed;

	FleetReconciler(ActiveContract inForce, ObjectStore store, PeerLinks peers, String instance, Timers timers,
			Executor work) {
		this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.work = Objects.requireNonNull(work, "work is null");
		this.ticker = Ticker.system();
		this.calls = new LinkCalls(timers);
		String writer = instance + "/" + GROUP;
		this.leases = ShardLeases.builder(store, Stamps.of(writer))
			.shards(GROUP, 1)
			.pollInterval(LOOK)
			.time(this.ticker, timers)
			.listener(this)
			.entries(() -> Stream.concat(Stream.of(instance), peers.peers().stream())
				.map((entry) -> entry + "/" + GROUP)
				.collect(Collectors.toSet()))
			.build();
	}

	void start(Supplier<Map<String, UpstreamUsage>> reported) {
		this.usage = Objects.requireNonNull(reported, "reported is null");
		this.leases.start();
		round();
	}

	/**
	 * Returns what fails again and again, if this entry leads.
	 * @return the failures
	 */
	List<StepFailure> failures() {
		return this.term.map((current) -> current.memory().failures()).orElse(List.of());
	}

	/**
	 * Tells whether this entry holds the lease.
	 * @return whether it gives orders
	 */
	boolean leads() {
		return this.term.isPresent();
	}

	@Override
	public void close() {
		this.closed = true;
		this.leases.close();
	}

	// -- the lease

	@Override
	public void acquired(int shard, Lease lease) {
		LOG.info("reconciler_taken", "epoch", lease.epoch());
		this.given.clear();
		this.observed.values().forEach(Observed::forget);
		this.term = Optional.of(new Term(lease, StepTracker.empty()));
	}

	@Override
	public void lost(int shard, Lease lease) {
		LOG.info("reconciler_lost", "epoch", lease.epoch());
		this.term = Optional.empty();
	}

	@Override
	public CompletableFuture<Void> releasing(int shard, Lease lease) {
		this.term = Optional.empty();
		return CompletableFuture.completedFuture(null);
	}

	// -- rounds

	private void round() {
		if (this.closed) {
			return;
		}
		this.work.execute(() -> {
			try {
				this.term.ifPresent(this::reconcile);
			}
			catch (RuntimeException ex) {
				LOG.warning("reconcile_failed", "error", ex);
			}
			this.timers.schedule(ROUND, this::round);
		});
	}

	private void reconcile(Term current) {
		long now = this.ticker.nanos();
		this.observed.forEach((link, seen) -> observe(link, seen, now));
		overdue(current, now);
		boolean whole = this.observed.values().stream().allMatch((seen) -> seen.loaded.isPresent());
		Optional<Contract> contract = this.inForce.contract();
		// Before every upstream was heard, a replica that is there looks like one that is
		// missing, and it would be loaded a second time elsewhere.
		if (!whole || contract.isEmpty()) {
			return;
		}
		List<UpstreamView> views = views();
		Reconciler reconciler = Reconciler.of(StepLimits.of(contract.get().weightStore()),
				Demand.of(views, this.usage.get()));
		List<Step> steps = reconciler.plan(contract.get(), views, current.memory(), now);
		steps.forEach((step) -> give(current, step, now));
	}

	private void observe(Link link, Observed seen, long now) {
		if (seen.askedAt != Long.MIN_VALUE && now - seen.askedAt < OBSERVE.toNanos()) {
			return;
		}
		seen.askedAt = now;
		this.calls.call(link, SidecarControl.MODELS, ByteString.EMPTY, CALL_TIMEOUT).whenComplete((body, failure) -> {
			if (failure == null) {
				seen.loaded = Optional.of(parse(body));
			}
			else {
				// An upstream that cannot say what it holds holds nothing that counts.
				seen.loaded = Optional.of(Set.of());
				LOG.debug("models_unknown", "upstream", link.remote().instance(), "error", failure);
			}
		});
	}

	private static Set<String> parse(ByteString body) {
		try {
			return Set.copyOf(OrderOutcome.parseFrom(body).getModelsList());
		}
		catch (InvalidProtocolBufferException ex) {
			return Set.of();
		}
	}

	private List<UpstreamView> views() {
		List<UpstreamView> views = new ArrayList<>();
		this.observed.forEach(
				(link, seen) -> seen.loaded.ifPresent((loaded) -> views.add(new UpstreamView(link.remote().instance(),
						link.remote().service(), link.remote().failureDomain().name(), loaded))));
		return views;
	}

	// -- orders

	private void give(Term current, Step step, long now) {
		Optional<Link> link = this.observed.keySet()
			.stream()
			.filter((open) -> open.remote().instance().equals(step.upstream()))
			.findFirst();
		if (link.isEmpty() || this.leases.held(SHARD).isEmpty()) {
			return;
		}
		String id = current.lease().epoch() + "-" + current.next();
		boolean adapter = step.kind() == Step.Kind.LOAD_ADAPTER || step.kind() == Step.Kind.UNLOAD_ADAPTER;
		Order.Builder order = Order.newBuilder()
			.setId(id)
			.setShard(SHARD)
			.setEpoch(current.lease().epoch())
			.setVerb(step.kind().verb())
			.setModel(step.model());
		if (adapter) {
			order.setAdapter(step.detail());
		}
		else {
			order.setVersion(step.detail());
		}
		this.given.put(id, new Given(step, now));
		current.memory().started(step, now);
		LOG.info("step", "id", id, "kind", step.kind().verb(), "why", step.priority(), "subject", step.subject(),
				"upstream", step.upstream());
		link.get().send(Frame.newBuilder().setOrder(order).build());
	}

	private void overdue(Term current, long now) {
		this.given.forEach((id, order) -> {
			if (now - order.since() > ORDER_TIMEOUT.toNanos() && this.given.remove(id, order)) {
				current.memory().failed(order.step(), "no outcome in " + ORDER_TIMEOUT, now);
			}
		});
	}

	private void outcome(Link link, OrderOutcome outcome) {
		Given order = this.given.remove(outcome.getId());
		Optional<Term> current = this.term;
		if (order == null || current.isEmpty()) {
			return;
		}
		if (outcome.getDone()) {
			Observed seen = this.observed.get(link);
			if (seen != null) {
				seen.loaded = Optional.of(Set.copyOf(outcome.getModelsList()));
			}
			current.get().memory().succeeded(order.step());
		}
		else {
			current.get().memory().failed(order.step(), outcome.getDetail(), this.ticker.nanos());
		}
	}

	// -- links

	@Override
	public void opened(Link link) {
		this.observed.put(link, new Observed());
	}

	@Override
	public void received(Link link, Frame frame) {
		if (frame.hasReply()) {
			this.calls.replied(link, frame.getReply());
		}
		else if (frame.hasOrderOutcome()) {
			outcome(link, frame.getOrderOutcome());
		}
	}

	@Override
	public void closed(Link link) {
		this.observed.remove(link);
		this.calls.closed(link);
		String upstream = link.remote().instance();
		this.given.values().removeIf((order) -> order.step().upstream().equals(upstream));
		this.term.ifPresent((current) -> current.memory().upstreamLost(upstream));
	}

	private static final class Observed {

		private volatile long askedAt = Long.MIN_VALUE;

		private volatile Optional<Set<String>> loaded = Optional.empty();

		// What was seen in an earlier term may be hours old: others have led since.
		private void forget() {
			this.loaded = Optional.empty();
			this.askedAt = Long.MIN_VALUE;
		}

	}

	private record Given(Step step, long since) {
	}

	private static final class Term {

		private final Lease lease;

		private final StepTracker memory;

		private long orders;

		private Term(Lease lease, StepTracker memory) {
			this.lease = lease;
			this.memory = memory;
		}

		private Lease lease() {
			return this.lease;
		}

		private StepTracker memory() {
			return this.memory;
		}

		private synchronized long next() {
			this.orders++;
			return this.orders;
		}

	}

}
