package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
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
import org.ragworthook.core.log.EventLog;
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
 * Exchanges load reports with the other processes: the requests that each process has
 * running at each upstream, and the sections that other parts of the process add.
 * <p>
 * Processes that count only their own requests choose the same upstream at the same
 * moment, and a request waits in one engine while another has a slot free. Reports are
 * datagrams. Each contains the complete state of its sender, so a lost one is made up for
 * by the next.
 */
public final class LoadExchange implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(LoadExchange.class);

	/** How often a report is sent while the state of this process changes. */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

	/** The mean age of a peer's newest report. */
	public static final Duration MEAN_REPORT_AGE = Duration.ofMillis(55);

	/**
	 * How long to wait after {@link #flush()}, so that one report covers several calls.
	 */
	private static final Duration FLUSH_DELAY = Duration.ofMillis(10);

	/** Report intervals after which an unchanged state is sent again. */
	private static final int HEARTBEAT_ROUNDS = 4;

	private final EventLoop loop;

	private final Ticker ticker;

	private final UpstreamRegistry registry;

	private final PeerIdentity self;

	private final PeerTable peers;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile ReportChannel channel;

	private List<UpstreamLoad> lastLoads = List.of();

	/** Rounds since the last report to all peers. */
	private int quietRounds;

	private long sequence;

	private boolean flushing;

	private BooleanSupplier wantsSlots = () -> false;

	private boolean lastWantsSlots;

	private final BacklogReports backlogs = new BacklogReports();

	private final PoisonRequestDetector suspects;

	private final PeerLoadTotals totals;

	private final FleetView fleet;

	private final List<ReportSection> sections = new CopyOnWriteArrayList<>();

	private LoadExchange(EventLoop loop, Ticker ticker, UpstreamRegistry registry, PoisonRequestDetector suspects,
			PeerIdentity self) {
		this.suspects = Objects.requireNonNull(suspects, "suspects is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.registry = Objects.requireNonNull(registry, "registry is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.peers = new PeerTable(ticker);
		this.fleet = new FleetView(ticker, this.peers, self);
		this.totals = new PeerLoadTotals(registry);
	}

	/**
	 * Opens the socket and begins to send and receive reports.
	 * @param loop the event loop
	 * @param ticker the monotonic clock
	 * @param registry the upstreams whose loads are reported, and which receive the
	 * totals of the peers' loads
	 * @param suspects the requests during which upstreams broke off, which are reported
	 * and receive the peers' counts
	 * @param self the identity of this process
	 * @return the exchange
	 */
	public static LoadExchange start(EventLoop loop, Ticker ticker, UpstreamRegistry registry,
			PoisonRequestDetector suspects, PeerIdentity self) {
		LoadExchange exchange = new LoadExchange(loop, ticker, registry, suspects, self);
		exchange.channel = ReportChannel.open(loop, self.address(), ticker, exchange::receive);
		loop.scheduleAtFixedRate(exchange::guardedRound, REPORT_INTERVAL.toMillis(), REPORT_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
		return exchange;
	}

	/**
	 * Adds a listener for reports of peers.
	 * @param listener called on the event loop after the loads of a report were counted
	 */
	public void onReport(Runnable listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Adds a section to the reports.
	 * @param section writes and reads its fields on the event loop
	 */
	public void add(ReportSection section) {
		this.sections.add(Objects.requireNonNull(section, "section is null"));
	}

	/**
	 * Sends a report to one peer at once, if the peer is live.
	 * @param instance the peer's name
	 * @param report the content for this peer alone, to which that for all is added
	 */
	public void sendTo(String instance, LoadReport.Builder report) {
		sendTo(List.of(instance), report);
	}

	/**
	 * Sends a report to some of the peers at once, to those of them that are live.
	 * @param instances the names of the peers
	 * @param report the content for these peers alone, to which that for all is added
	 */
	public void sendTo(Collection<String> instances, LoadReport.Builder report) {
		List<Peer> live = instances.stream().flatMap((instance) -> this.peers.live(instance).stream()).toList();
		if (live.isEmpty()) {
			return;
		}
		this.sequence++;
		byte[] bytes = report(report, loads()).toByteArray();
		live.forEach((peer) -> this.channel.write(bytes, peer.address()));
		this.channel.flush();
	}

	/**
	 * Returns the view of all processes of the fleet.
	 * @return the view, which changes as reports arrive
	 */
	public FleetView fleet() {
		return this.fleet;
	}

	/**
	 * Adds a peer, to which reports are sent from now on. Does nothing for the address of
	 * this process.
	 * @param address where the peer receives reports
	 */
	public void addPeer(Address address) {
		if (!address.equals(this.self.address())) {
			this.loop.execute(() -> this.peers.addPeer(new InetSocketAddress(address.host(), address.port())));
		}
	}

	/**
	 * Announces to the peers that this process will stop, so that they take over its
	 * jobs.
	 */
	public void leave() {
		this.loop.execute(() -> {
			this.fleet.leave();
			send(loads());
		});
	}

	/**
	 * Sends a report to all peers soon, ahead of the next round, for instance when their
	 * batch items are to yield to a request of this process. Calls within 10 ms share one
	 * report.
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
	 * Called when all processes that the platform lists were added.
	 */
	public void allPeersAdded() {
		this.loop.execute(this.peers::allPeersAdded);
	}

	/**
	 * Sets the supplier of whether items of this process wait for a slot.
	 * @param condition returns whether items wait
	 */
	public void wantsSlots(BooleanSupplier condition) {
		this.wantsSlots = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Sets the supplier of the backlog of the jobs that this process owns.
	 * @param backlog returns tokens by the key of route and account, or empty until the
	 * process has read the list of jobs
	 */
	public void ownedBacklog(Supplier<Optional<Map<Integer, Long>>> backlog) {
		this.backlogs.owned(backlog);
	}

	/**
	 * Sets the supplier of the backlog of the jobs that this process has just accepted.
	 * @param backlog returns tokens by the key of route and account
	 */
	public void acceptedBacklog(Supplier<Map<Integer, Long>> backlog) {
		this.backlogs.accepted(backlog);
	}

	/**
	 * Returns the total of the peers' backlogs and that of the jobs of this process for
	 * one account on one route.
	 * @param key the key of route and account
	 * @return the waiting tokens
	 */
	public WaitingTokens waitingTokens(int key) {
		return this.backlogs.sum(this.peers.backlogReports(), key);
	}

	/**
	 * Runs a round. An exception would end the scheduled task, and this process would
	 * send no reports any more.
	 */
	private void guardedRound() {
		try {
			round();
		}
		catch (RuntimeException ex) {
			LOG.warning("report_round_failed", "error", ex);
		}
	}

	private void round() {
		this.channel.polled();
		List<UpstreamLoad> now = loads();
		boolean unchanged = now.equals(this.lastLoads) && this.lastWantsSlots == this.wantsSlots.getAsBoolean()
				&& !this.backlogs.hasChanges() && this.sections.stream().noneMatch(ReportSection::hasChanges);
		if (unchanged && ++this.quietRounds < HEARTBEAT_ROUNDS) {
			return;
		}
		send(now);
		updateTotals();
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
		this.lastLoads = loads;
		this.lastWantsSlots = this.wantsSlots.getAsBoolean();
		this.quietRounds = 0;
		this.sequence++;
		LoadReport.Builder report = LoadReport.newBuilder();
		this.sections.forEach((section) -> section.writeToAll(report));
		byte[] bytes = report(report, loads).toByteArray();
		this.peers.all().forEach((peer) -> this.channel.write(bytes, peer.address()));
		this.channel.flush();
	}

	private LoadReport report(LoadReport.Builder report, List<UpstreamLoad> loads) {
		this.sections.forEach((section) -> section.write(report));
		this.suspects.ownCounts()
			.forEach((fingerprint, breaks) -> report
				.addSuspects(SuspectRequest.newBuilder().setFingerprint(fingerprint).setBreaks(breaks)));
		this.peers.liveReports()
			.stream()
			.filter((live) -> live.getRunsJobs() && !live.getLeaving())
			.forEach((live) -> report.addHeardRunners(HeardRunner.newBuilder()
				.setInstance(live.getInstance())
				.setStoreLost(live.getStoreLost())
				.setShedsJobs(live.getShedsJobs())));
		this.backlogs.write(report);
		return report.setInstance(this.self.instance())
			.setStartedMillis(this.self.startedMillis())
			.setSequence(this.sequence)
			.setHost(this.self.address().host())
			.setPort(this.self.address().port())
			.setRunsJobs(this.self.runsJobs())
			.setLeaving(this.fleet.leaving())
			.setStoreLost(this.fleet.hasLostStore())
			.setShedsJobs(this.fleet.shedsJobs())
			.setChecksFeeds(this.fleet.checksFeeds())
			.setWantsSlots(this.wantsSlots.getAsBoolean())
			.addAllLoads(loads)
			.build();
	}

	/**
	 * Computes the totals anew, for what changes without a report: peers that are no
	 * longer live, new upstreams, and the slot claim order among the other processes.
	 */
	private void updateTotals() {
		this.peers.logChanges();
		Set<InetSocketAddress> live = new HashSet<>();
		for (Peer peer : this.peers.all()) {
			this.peers.liveReport(peer).ifPresent((report) -> {
				live.add(peer.address());
				this.totals.replace(peer.address(), loads(report));
			});
		}
		this.totals.retain(live);
		updateSuspects();
	}

	private void updateSuspects() {
		Map<Long, Integer> breaks = new HashMap<>();
		for (Peer peer : this.peers.all()) {
			peer.newestReport()
				.ifPresent((report) -> report.getSuspectsList()
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
		boolean yieldsFirst = load.getBatch() > 0
				&& this.fleet.lastSlotClaimOrder().yieldsFirst(peer, load.getUpstream());
		return new PeerLoad(load.getOnline(), load.getBatch(), yieldsFirst ? load.getBatch() : 0);
	}

	private void receive(LoadReport report, long arrivedNanos) {
		ReportCheck.problem(report).ifPresent((problem) -> {
			throw new IllegalArgumentException(problem);
		});
		this.peers.accept(report, arrivedNanos).ifPresent((peer) -> accepted(peer, report));
		this.sections.forEach((section) -> section.read(report));
	}

	private void accepted(Peer peer, LoadReport report) {
		this.fleet.invalidate();
		this.totals.replace(peer.address(), loads(report));
		if (report.getSuspectsCount() > 0) {
			updateSuspects();
		}
		this.listeners.forEach(Runnable::run);
	}

	@Override
	public void close() {
		this.channel.close();
	}

}
