package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.PeerLoad;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;
import org.ragworthook.wire.load.HeardRunner;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.SuspectRequest;
import org.ragworthook.wire.load.UpstreamLoad;

/**
 * Tells the peers what this process has at each upstream and keeps what they tell.
 * <p>
 * Processes that count only their own requests choose the same upstream at the same
 * moment, and a request waits in one engine while another has a slot free. Reports are
 * datagrams: the newest says everything, and one that is lost is made good by the next.
 */
public final class LoadExchange implements AutoCloseable {

	/** How often changed counts are sent. */
	private static final Duration ROUND = Duration.ofMillis(100);

	/** How old the report of a peer is on average. */
	public static final Duration MEAN_AGE = Duration.ofMillis(55);

	/** In how much time reports that are sent at once are gathered into one. */
	private static final Duration FLUSH_DELAY = Duration.ofMillis(10);

	/** Rounds after which counts are sent though they have not changed. */
	private static final int QUIET_ROUNDS = 4;

	private final EventLoop loop;

	private final Ticker ticker;

	private final UpstreamRegistry registry;

	private final PeerIdentity self;

	private final PeerTable peers;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile ReportChannel channel;

	private List<UpstreamLoad> lastSent = List.of();

	private int quietRounds;

	private long sequence;

	private boolean flushing;

	private BooleanSupplier wantsSlots = () -> false;

	private boolean lastWanting;

	private final BacklogReports backlogs = new BacklogReports();

	private final PoisonRequestDetector suspects;

	private final LoadSums sums;

	private final FleetView fleet;

	private final List<ReportPart> parts = new CopyOnWriteArrayList<>();

	private LoadExchange(EventLoop loop, Ticker ticker, UpstreamRegistry registry, PoisonRequestDetector suspects,
			PeerIdentity self) {
		this.suspects = Objects.requireNonNull(suspects, "suspects is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.registry = Objects.requireNonNull(registry, "registry is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.peers = new PeerTable(ticker);
		this.fleet = new FleetView(ticker, this.peers, self);
		this.sums = new LoadSums(registry);
	}

	/**
	 * Begins to take and send reports.
	 * @param loop the thread
	 * @param ticker the time
	 * @param registry the upstreams whose counts are told and kept
	 * @param suspects the requests whose breaks are told and kept
	 * @param self how this process shows itself
	 * @return the exchange
	 */
	public static LoadExchange start(EventLoop loop, Ticker ticker, UpstreamRegistry registry,
			PoisonRequestDetector suspects, PeerIdentity self) {
		LoadExchange exchange = new LoadExchange(loop, ticker, registry, suspects, self);
		exchange.channel = ReportChannel.open(loop, self.address(), exchange::take);
		loop.scheduleAtFixedRate(exchange::round, ROUND.toMillis(), ROUND.toMillis(), TimeUnit.MILLISECONDS);
		return exchange;
	}

	/**
	 * Asks to be told when counts of peers have come.
	 * @param listener runs on the event loop
	 */
	public void onReport(Runnable listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Adds what is told along with the loads.
	 * @param part writes and reads it on the event loop
	 */
	public void add(ReportPart part) {
		this.parts.add(Objects.requireNonNull(part, "part is null"));
	}

	/**
	 * Sends one peer a report now, if it is heard.
	 * @param instance the peer's name
	 * @param report what it is told beside what all are told
	 */
	public void sendTo(String instance, LoadReport.Builder report) {
		this.peers.heard(instance).ifPresent((peer) -> {
			this.sequence++;
			this.channel.write(report(report, loads()).toByteArray(), peer.address());
			this.channel.flush();
		});
	}

	/**
	 * Returns which processes there are, as far as this one hears.
	 * @return the view, which changes as reports come
	 */
	public FleetView fleet() {
		return this.fleet;
	}

	/**
	 * Makes a peer known, so that it is sent reports and sends its own.
	 * @param address where it takes reports
	 */
	public void introduce(Address address) {
		if (!address.equals(this.self.address())) {
			this.loop.execute(() -> this.peers.introduce(new InetSocketAddress(address.host(), address.port())));
		}
	}

	/**
	 * Tells the peers that this process will stop, so that others take its jobs.
	 */
	public void leave() {
		this.loop.execute(() -> {
			this.fleet.leave();
			send(loads());
		});
	}

	/**
	 * Tells the peers now what this process has, since batch is to yield to it. Several
	 * calls in short succession send one report.
	 */
	public void flush() {
		if (!this.flushing) {
			this.flushing = true;
			this.loop.schedule(() -> {
				this.flushing = false;
				send(loads());
			}, FLUSH_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Learns that all processes that the platform knows were introduced.
	 */
	public void introduced() {
		this.loop.execute(this.peers::introduced);
	}

	/**
	 * Sets what tells whether items of this process wait for a slot.
	 * @param condition whether they do
	 */
	public void wantsSlots(BooleanSupplier condition) {
		this.wantsSlots = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Sets what tells which items wait, as far as this process knows.
	 * @param backlog gives tokens by the key of route and account, or empty while not
	 * known
	 */
	public void backlog(Supplier<Optional<Map<Integer, Long>>> backlog) {
		this.backlogs.own(backlog);
	}

	/**
	 * Sets what tells which jobs this process has accepted a moment ago.
	 * @param accepted gives tokens by the key of route and account
	 */
	public void accepted(Supplier<Map<Integer, Long>> accepted) {
		this.backlogs.accepted(accepted);
	}

	/**
	 * Returns what the peers, and the jobs of this process, tell of the items of an
	 * account that wait on a route.
	 * @param key the key of route and account
	 * @return tokens and whether they are all
	 */
	public WaitingTokens waiting(int key) {
		return this.backlogs.sum(this.peers.lately(), key);
	}

	private void round() {
		List<UpstreamLoad> now = loads();
		boolean same = now.equals(this.lastSent) && this.lastWanting == this.wantsSlots.getAsBoolean()
				&& !this.backlogs.changed() && this.parts.stream().noneMatch(ReportPart::hasChanges);
		if (same && ++this.quietRounds < QUIET_ROUNDS) {
			return;
		}
		send(now);
		sum();
	}

	private List<UpstreamLoad> loads() {
		List<UpstreamLoad> loads = new ArrayList<>();
		for (TrackedUpstream upstream : this.registry.all()) {
			int online = upstream.ownLoad(WorkClass.ONLINE);
			int batch = upstream.ownLoad(WorkClass.BATCH);
			if (online > 0 || batch > 0) {
				loads.add(UpstreamLoad.newBuilder()
					.setUpstream(upstream.key())
					.setOnline(online)
					.setBatch(batch)
					.build());
			}
		}
		return loads;
	}

	private void send(List<UpstreamLoad> loads) {
		this.lastSent = loads;
		this.lastWanting = this.wantsSlots.getAsBoolean();
		this.quietRounds = 0;
		this.sequence++;
		byte[] bytes = report(LoadReport.newBuilder(), loads).toByteArray();
		this.peers.all().forEach((peer) -> this.channel.write(bytes, peer.address()));
		this.channel.flush();
	}

	private LoadReport report(LoadReport.Builder report, List<UpstreamLoad> loads) {
		this.parts.forEach((part) -> part.write(report));
		this.suspects.ownCounts()
			.forEach((fingerprint, breaks) -> report
				.addSuspects(SuspectRequest.newBuilder().setFingerprint(fingerprint).setBreaks(breaks)));
		this.peers.fresh()
			.stream()
			.filter((heard) -> heard.getRunsJobs() && !heard.getLeaving())
			.forEach((heard) -> report.addHeardRunners(
					HeardRunner.newBuilder().setInstance(heard.getInstance()).setStoreLost(heard.getStoreLost())));
		this.backlogs.write(report);
		return report.setInstance(this.self.instance())
			.setStartedMillis(this.self.startedMillis())
			.setSequence(this.sequence)
			.setHost(this.self.address().host())
			.setPort(this.self.address().port())
			.setRunsJobs(this.self.runsJobs())
			.setLeaving(this.fleet.leaving())
			.setStoreLost(this.fleet.hasLostStore())
			.setWantsSlots(this.wantsSlots.getAsBoolean())
			.addAllLoads(loads)
			.build();
	}

	/**
	 * Adds up anew what changes without a report: peers that have fallen silent,
	 * upstreams that are new, turns among other processes.
	 */
	private void sum() {
		this.peers.logChanges();
		Set<InetSocketAddress> heard = new HashSet<>();
		for (Peer peer : this.peers.all()) {
			this.peers.fresh(peer).ifPresent((present) -> {
				heard.add(peer.address());
				this.sums.replace(peer.address(), loads(present));
			});
		}
		this.sums.keep(heard);
		sumBreaks();
	}

	private void sumBreaks() {
		Map<Long, Integer> breaks = new HashMap<>();
		for (Peer peer : this.peers.all()) {
			peer.newest()
				.ifPresent((last) -> last.getSuspectsList()
					.forEach((suspect) -> breaks.merge(suspect.getFingerprint(), suspect.getBreaks(), Integer::sum)));
		}
		this.suspects.updatePeerCounts(breaks);
	}

	private Map<Integer, PeerLoad> loads(LoadReport report) {
		Map<Integer, PeerLoad> loads = new HashMap<>();
		report.getLoadsList()
			.forEach((load) -> loads.merge(load.getUpstream(), load(report.getInstance(), load), PeerLoad::plus));
		return loads;
	}

	private PeerLoad load(String peer, UpstreamLoad load) {
		boolean givesFirst = load.getBatch() > 0 && this.fleet.lastTurns().yieldsFirst(peer, load.getUpstream());
		return new PeerLoad(load.getOnline(), load.getBatch(), givesFirst ? load.getBatch() : 0);
	}

	private void take(LoadReport report) {
		this.peers.take(report).ifPresent((peer) -> counted(peer, report));
		this.parts.forEach((part) -> part.read(report));
	}

	private void counted(Peer peer, LoadReport report) {
		this.fleet.changed();
		this.sums.replace(peer.address(), loads(report));
		if (report.getSuspectsCount() > 0) {
			sumBreaks();
		}
		this.listeners.forEach(Runnable::run);
	}

	@Override
	public void close() {
		this.channel.close();
	}

}
