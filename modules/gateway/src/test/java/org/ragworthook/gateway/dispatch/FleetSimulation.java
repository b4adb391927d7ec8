package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.PeerLoad;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UnreportedPlacements;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * A day of entries before engines that admit in order of arrival, under a virtual clock.
 * Entries hear of each other every tenth of a second; bursts take more slots than there
 * are for a moment. Counts the requests that begin to run too late for their callers.
 */
final class FleetPlay {

	private static final String SERVICE = "svc";

	private static final int SLOTS = 7;

	private static final int ENGINES_PER_ENTRY_TENTHS = 15;

	private static final int NEWS_MILLIS = 100;

	/** One way between two processes, with what they take to act on a message. */
	private static final Duration WAY = Duration.ofMillis(2);

	/** A caller's goal for the first event. */
	private static final int GOAL_MILLIS = 300;

	/** The part of the goal within which a request has to be sent to a free slot. */
	private static final int SEND_MILLIS = 225;

	private static final int EVENTS = 35;

	private static final int QUIET_MILLIS = 3_400;

	private static final int BURST_MILLIS = 2_400;

	/** Requests a second for each engine. */
	private static final double QUIET_RATE = 2.0;

	private static final double BURST_RATE = 9.8;

	private static final int CLIENTS_PER_ENTRY = 7;

	private static final int DOMAINS = 5;

	private final ManualTime time = ManualTime.of();

	private final Random random;

	private final boolean dispatching;

	/** When the dispatcher stops answering; the entries take it for alive. */
	private final int dispatcherStopsMillis;

	private final List<Engine> engines = new ArrayList<>();

	private final List<Entry> entries = new ArrayList<>();

	private final List<Entry> clients = new ArrayList<>();

	private final DispatchingProcess dispatcher;

	private int now;

	private int requests;

	private int late;

	private int longestMillis;

	/**
	 * Makes a day.
	 * @param entryCount how many entries there are; engines are one and a half times as
	 * many
	 * @param dispatching whether entries ask a dispatcher while slots are scarce
	 * @param dispatcherStopsMillis when it stops answering
	 * @param seed of all that is random
	 */
	FleetPlay(int entryCount, boolean dispatching, int dispatcherStopsMillis, int seed) {
		this.random = new Random(seed);
		this.dispatching = dispatching;
		this.dispatcherStopsMillis = dispatcherStopsMillis;
		int engineCount = entryCount * ENGINES_PER_ENTRY_TENTHS / 10;
		for (int i = 0; i < engineCount; i++) {
			this.engines.add(new Engine());
		}
		this.dispatcher = new DispatchingProcess();
		for (int i = 0; i < entryCount; i++) {
			this.entries.add(new Entry("e" + i, i % DOMAINS));
		}
		for (int i = 0; i < entryCount * CLIENTS_PER_ENTRY; i++) {
			this.clients.add(this.entries.get(this.random.nextInt(entryCount)));
		}
	}

	/**
	 * Plays.
	 * @param millis for how long
	 * @return how many of 1,000 requests were late
	 */
	double latePerThousand(int millis) {
		for (this.now = 0; this.now < millis; this.now++) {
			this.time.advance(Duration.ofMillis(1));
			this.engines.forEach(Engine::round);
			this.entries.forEach(Entry::round);
			boolean burst = this.now % (QUIET_MILLIS + BURST_MILLIS) >= QUIET_MILLIS;
			arrivals((burst ? BURST_RATE : QUIET_RATE) * this.engines.size() / 1_000);
		}
		return 1_000.0 * this.late / this.requests;
	}

	/**
	 * Returns the longest time that a request waited until it began to run.
	 * @return milliseconds
	 */
	int longestMillis() {
		return this.longestMillis;
	}

	private void arrivals(double mean) {
		double limit = Math.exp(-mean);
		for (double product = this.random.nextDouble(); product > limit; product *= this.random.nextDouble()) {
			this.clients.get(this.random.nextInt(this.clients.size())).arrive();
		}
	}

	private UpstreamRegistry registry() {
		UpstreamRegistry registry = UpstreamRegistry.empty();
		for (int i = 0; i < this.engines.size(); i++) {
			registry.put(new UpstreamDescriptor("u" + i, SERVICE, new Address("10.0.0.1", 80), "d" + i % DOMAINS, SLOTS,
					false));
		}
		return registry;
	}

	private Engine engine(TrackedUpstream upstream) {
		return this.engines.get(number(upstream));
	}

	private static List<TrackedUpstream> fleet(UpstreamRegistry registry) {
		return registry.all().stream().sorted(Comparator.comparingInt(FleetPlay::number)).toList();
	}

	private static int number(TrackedUpstream upstream) {
		return Integer.parseInt(upstream.descriptor().id().substring(1));
	}

	/**
	 * What a process has heard of the entries.
	 */
	private final class Heard {

		private final List<TrackedUpstream> upstreams;

		private final Map<Entry, int[]> loads = new HashMap<>();

		private final int[] sums = new int[FleetPlay.this.engines.size()];

		Heard(UpstreamRegistry registry) {
			this.upstreams = fleet(registry);
		}

		void replace(Entry entry, int[] newest) {
			int[] before = this.loads.put(entry, newest);
			for (int i = 0; i < newest.length; i++) {
				int change = newest[i] - ((before != null) ? before[i] : 0);
				if (change != 0) {
					this.sums[i] += change;
					this.upstreams.get(i).updatePeerLoad(new PeerLoad(this.sums[i], 0, 0));
				}
			}
		}

	}

	/**
	 * Runs {@link #SLOTS} requests at once, each event the more slowly the more there
	 * are.
	 */
	private final class Engine {

		private final double speed = 0.85 + 0.3 * FleetPlay.this.random.nextDouble();

		private final List<Request> running = new ArrayList<>();

		private final Deque<Request> waiting = new ArrayDeque<>();

		void round() {
			double events = 1 / ((8 + 2.3 * this.running.size()) * this.speed);
			for (Request request : List.copyOf(this.running)) {
				request.progress(events);
			}
			this.running.removeIf(Request::over);
			while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
				this.running.add(this.waiting.remove());
			}
		}

	}

	/**
	 * A caller's request at its entry.
	 */
	private final class Request implements DispatchClient.SlotRequester {

		private final Entry entry;

		private final int arrived = FleetPlay.this.now;

		private final int length = Math.max(5,
				(int) (EVENTS * Math.exp(0.4 * FleetPlay.this.random.nextGaussian() - 0.08)));

		private TrackedUpstream upstream;

		private double events;

		private boolean begun;

		Request(Entry entry) {
			this.entry = entry;
		}

		void progress(double more) {
			this.events += more;
			if (!this.begun && this.events >= 1) {
				this.begun = true;
				int waited = FleetPlay.this.now - this.arrived;
				FleetPlay.this.late += (waited > GOAL_MILLIS) ? 1 : 0;
				FleetPlay.this.longestMillis = Math.max(FleetPlay.this.longestMillis, waited);
			}
			if (over()) {
				this.upstream.end(WorkClass.ONLINE);
				this.entry.loadChanged();
				this.entry.drain();
			}
		}

		boolean over() {
			return this.events >= this.length;
		}

		void send(TrackedUpstream chosen) {
			this.upstream = chosen;
			chosen.begin(WorkClass.ONLINE);
			this.entry.unreported.recordPlacement();
			this.entry.loadChanged();
			engine(chosen).waiting.add(this);
		}

		@Override
		public String requestId() {
			return "r" + this.arrived;
		}

		@Override
		public PrefixAffinity prefixAffinity() {
			return PrefixAffinity.none();
		}

		@Override
		public void granted(int upstreamKey, boolean yields) {
			send(this.entry.registry.byKey(upstreamKey).orElseThrow());
		}

		@Override
		public void dispatcherTimedOut() {
			this.entry.placeHere(this);
		}

	}

	/**
	 * What one entry knows and does.
	 */
	private final class Entry implements DispatchClient.Channel {

		private final String name;

		private final UpstreamRegistry registry = registry();

		private final Placement placement;

		private final DispatchClient client = DispatchClient.of(FleetPlay.this.time, FleetPlay.this.time, this);

		private final UnreportedPlacements unreported = UnreportedPlacements.of(FleetPlay.this.time,
				Duration.ofMillis(NEWS_MILLIS / 2), () -> FleetPlay.this.entries.size() - 1);

		private final Deque<Request> line = new ArrayDeque<>();

		private final int phase = FleetPlay.this.random.nextInt(NEWS_MILLIS);

		private final List<TrackedUpstream> fleet = fleet(this.registry);

		private final Heard heard = new Heard(this.registry);

		private long grantsSeen;

		Entry(String name, int domain) {
			this.name = name;
			this.placement = Placement.of("d" + domain, FleetPlay.this.time, FleetPlay.this.random);
		}

		void round() {
			if (FleetPlay.this.now % NEWS_MILLIS == this.phase) {
				int[] loads = loads();
				FleetPlay.this.entries.stream()
					.filter((other) -> other != this)
					.forEach((other) -> other.heard.replace(this, loads));
				tellDispatcher();
			}
			drain();
		}

		private int[] loads() {
			return this.fleet.stream().mapToInt((upstream) -> upstream.ownLoad(WorkClass.ONLINE)).toArray();
		}

		void arrive() {
			FleetPlay.this.requests++;
			Request request = new Request(this);
			long goal = FleetPlay.this.time.nanos() + Duration.ofMillis(SEND_MILLIS).toNanos();
			boolean asked = FleetPlay.this.dispatching && SlotSharing.slotsScarce(this.registry.serving(SERVICE))
					&& this.client.requestSlot(request, SERVICE, Set.of(), goal);
			if (!asked) {
				placeHere(request);
			}
		}

		void placeHere(Request request) {
			if (!tryPlace(request)) {
				this.line.add(request);
			}
		}

		private boolean tryPlace(Request request) {
			Optional<TrackedUpstream> choice = this.placement.choose(this.registry.serving(SERVICE), Set.of(),
					SlotSharing::hasOnlineCapacity, PrefixAffinity.none(), this.unreported.estimate());
			choice.ifPresent(request::send);
			return choice.isPresent();
		}

		void drain() {
			while (!this.line.isEmpty() && tryPlace(this.line.peek())) {
				this.line.remove();
			}
		}

		void loadChanged() {
			if (FleetPlay.this.dispatching && SlotSharing.slotsScarce(this.registry.serving(SERVICE))) {
				tellDispatcher();
			}
		}

		private void tellDispatcher() {
			int[] loads = loads();
			long through = this.grantsSeen;
			FleetPlay.this.time.schedule(WAY, () -> FleetPlay.this.dispatcher.hear(this, loads, through));
		}

		@Override
		public Optional<String> dispatcher(String service, Predicate<String> usable) {
			return Optional.of("dispatcher").filter(usable);
		}

		@Override
		public void ask(String to, DispatchClient.SlotQuery question) {
			SlotRequest request = new SlotRequest(this.name, question.number(), question.requestId(),
					question.service(), "d0", question.except(), question.prompt(), FleetPlay.this.time.nanos(),
					FleetPlay.this.time.nanos() + question.toGoal().toNanos());
			FleetPlay.this.time.schedule(WAY, () -> FleetPlay.this.dispatcher.ask(request));
		}

	}

	/**
	 * The process that gives out slots.
	 */
	private final class DispatchingProcess implements Dispatcher.Answers {

		private final UpstreamRegistry registry = registry();

		private final Dispatcher decisions = Dispatcher.of(this.registry, FleetPlay.this.time, FleetPlay.this.random, 0,
				this);

		private final Heard heard = new Heard(this.registry);

		private boolean stopped() {
			return FleetPlay.this.now >= FleetPlay.this.dispatcherStopsMillis;
		}

		void hear(Entry entry, int[] loads, long through) {
			if (!stopped()) {
				this.heard.replace(entry, loads);
				this.decisions.seen(entry.name, through);
				this.decisions.expire();
				this.decisions.changed();
			}
		}

		void ask(SlotRequest request) {
			if (!stopped()) {
				this.decisions.ask(request);
			}
		}

		private Entry entry(SlotRequest request) {
			return FleetPlay.this.entries.get(Integer.parseInt(request.entry().substring(1)));
		}

		@Override
		public void granted(SlotRequest request, GrantLedger.Grant grant, boolean yields) {
			Entry entry = entry(request);
			FleetPlay.this.time.schedule(WAY, () -> {
				entry.grantsSeen = Math.max(entry.grantsSeen, grant.number());
				entry.client.granted(request.number(), grant.upstream().key(), yields);
			});
		}

		@Override
		public void waits(SlotRequest request) {
			FleetPlay.this.time.schedule(WAY, () -> entry(request).client.waits(request.number()));
		}

	}

}
