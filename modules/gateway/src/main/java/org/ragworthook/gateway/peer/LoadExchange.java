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
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.suspect.SuspectRequests;
import org.ragworthook.gateway.upstream.BatchTurns;
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

	private static final EventLog LOG = EventLog.of(LoadExchange.class);

	/** How often changed counts are sent: some times during one usual request. */
	private static final Duration ROUND = Duration.ofMillis(100);

	/** How old the news of a peer is on average: half a round, and the way. */
	public static final Duration MEAN_AGE = Duration.ofMillis(55);

	/** In how much time urgent reports are gathered into one. */
	private static final Duration URGE = Duration.ofMillis(10);

	/** Rounds after which counts are sent though they have not changed. */
	private static final int QUIET_ROUNDS = 4;

	private final EventLoop loop;

	private final Ticker ticker;

	private final UpstreamRegistry registry;

	private final PeerSettings self;

	private final PeerTable peers;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile Channel channel;

	private List<UpstreamLoad> lastSent = List.of();

	private int quietRounds;

	private long sequence;

	private boolean leaving;

	private boolean urging;

	private BooleanSupplier storeLost = () -> false;

	private BooleanSupplier wantsSlots = () -> false;

	private boolean lastWanting;

	private final BacklogReports backlogs = new BacklogReports();

	private BatchTurns turns;

	/** The owners of jobs as they were put together last; empty to do so anew. */
	private List<String> runners = List.of();

	private long runnersNanos;

	private final SuspectRequests suspects;

	private final LoadSums sums;

	private final List<ReportPart> parts = new CopyOnWriteArrayList<>();

	private LoadExchange(EventLoop loop, Ticker ticker, UpstreamRegistry registry, SuspectRequests suspects,
			PeerSettings self) {
		this.suspects = Objects.requireNonNull(suspects, "suspects is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.registry = Objects.requireNonNull(registry, "registry is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.turns = BatchTurns.of(self.instance(), List.of());
		this.peers = new PeerTable(ticker);
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
	public static LoadExchange start(EventLoop loop, Ticker ticker, UpstreamRegistry registry, SuspectRequests suspects,
			PeerSettings self) {
		LoadExchange exchange = new LoadExchange(loop, ticker, registry, suspects, self);
		exchange.channel = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.handler(exchange.new Receiver())
			.bind(new InetSocketAddress(self.address().host(), self.address().port()))
			.syncUninterruptibly()
			.channel();
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
	public void tell(String instance, LoadReport.Builder report) {
		this.peers.heard(instance).ifPresent((peer) -> {
			this.sequence++;
			send(peer, report(report, loads()).toByteArray());
			this.channel.flush();
		});
	}

	/**
	 * Returns the processes that run jobs and that this process hears itself, whether
	 * they reach the store or not, this one included if it does.
	 * @return their names
	 */
	public List<String> heardRunners() {
		Stream<String> heard = this.peers.fresh()
			.stream()
			.filter((report) -> report.getRunsJobs() && !report.getLeaving())
			.map(LoadReport::getInstance);
		boolean self = this.self.runsJobs() && !this.leaving;
		return Stream.concat(heard, Stream.of(this.self.instance()).filter((name) -> self)).toList();
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
	 * Sets what tells whether this process has lost the store. It is heard by its peers
	 * all the same; if it counted as the owner of jobs, nobody would list their results.
	 * @param condition whether it has
	 */
	public void storeLost(BooleanSupplier condition) {
		this.storeLost = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Returns how many peers are heard.
	 * @return the counts
	 */
	public PeerView peerView() {
		List<LoadReport> heard = this.peers.fresh();
		int reaching = (int) heard.stream().filter((report) -> !report.getStoreLost()).count();
		return new PeerView(this.peers.all().size(), heard.size(), reaching);
	}

	/**
	 * Tells the peers that this process will stop, so that others take its jobs.
	 */
	public void leave() {
		this.loop.execute(() -> {
			this.leaving = true;
			this.runners = List.of();
			send(loads());
		});
	}

	/**
	 * Tells the peers now what this process has, since batch is to yield to it. Several
	 * calls in short succession send one report.
	 */
	public void urge() {
		if (!this.urging) {
			this.urging = true;
			this.loop.schedule(() -> {
				this.urging = false;
				send(loads());
			}, URGE.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Returns the processes that run jobs and are heard, this one included if it does.
	 * Those that have lost the store are left out, unless all have: then each goes on
	 * with what it has. Asked for each job many times a second, they are put together
	 * anew once a round, and when a report comes.
	 * @return their names
	 */
	public List<String> jobRunners() {
		long now = this.ticker.nanos();
		if (this.runners.isEmpty() || now - this.runnersNanos >= ROUND.toNanos()) {
			RunnerView view = RunnerView.of(this.peers.fresh());
			if (this.self.runsJobs() && !this.leaving) {
				view.add(this.self.instance(), this.storeLost.getAsBoolean());
			}
			this.runners = view.owners();
			this.runnersNanos = now;
		}
		return this.runners;
	}

	/**
	 * Learns that all processes that the platform knows were introduced.
	 */
	public void introduced() {
		this.loop.execute(this.peers::introduced);
	}

	/**
	 * Tells whether this process knows what its peers do; until then it leaves jobs
	 * alone.
	 * @return whether all peers were heard, or have had the time to be
	 */
	public boolean settled() {
		return this.peers.settled();
	}

	/**
	 * Sets what tells whether items of this process wait for a slot.
	 * @param condition whether they do
	 */
	public void wantsSlots(BooleanSupplier condition) {
		this.wantsSlots = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Returns how many other processes take callers' requests and are heard. One that
	 * also runs jobs is not counted: reports do not tell whether it takes requests.
	 * @return the entries without this one
	 */
	public int otherEntries() {
		return (int) this.peers.fresh().stream().filter((report) -> !report.getRunsJobs()).count();
	}

	/**
	 * Sets what tells which items wait, as far as this process knows.
	 * @param backlog gives tokens by the key of the route, or empty while not known
	 */
	public void backlog(Supplier<Optional<Map<Integer, Long>>> backlog) {
		this.backlogs.own(backlog);
	}

	/**
	 * Sets what tells which jobs this process has accepted a moment ago.
	 * @param accepted gives tokens by the key of the route
	 */
	public void accepted(Supplier<Map<Integer, Long>> accepted) {
		this.backlogs.accepted(accepted);
	}

	/**
	 * Returns what the peers, and the jobs of this process, tell of the items that wait
	 * on a route.
	 * @param routeKey the route's key
	 * @return tokens and whether they are all
	 */
	public WaitingTokens waiting(int routeKey) {
		return this.backlogs.sum(this.peers.lately(), routeKey);
	}

	/**
	 * Returns the turns of the processes that have items waiting. Dealt out to all that
	 * run jobs, slots of processes without work stood empty: 78 were in use while 91
	 * items waited, and 94 with turns among those that want some.
	 * @return the turns among this process and those that are heard now
	 */
	public BatchTurns turns() {
		List<String> runners = Stream
			.concat(Stream.of(this.self.instance()),
					this.peers.fresh().stream().filter(LoadReport::getWantsSlots).map(LoadReport::getInstance))
			.distinct()
			.sorted()
			.toList();
		if (!runners.equals(this.turns.runners())) {
			this.turns = BatchTurns.of(this.self.instance(), runners);
		}
		return this.turns;
	}

	private void round() {
		List<UpstreamLoad> now = loads();
		boolean same = now.equals(this.lastSent) && this.lastWanting == this.wantsSlots.getAsBoolean()
				&& !this.backlogs.changed();
		if (same && ++this.quietRounds < QUIET_ROUNDS) {
			return;
		}
		send(now);
		sum();
	}

	private List<UpstreamLoad> loads() {
		List<UpstreamLoad> loads = new ArrayList<>();
		for (TrackedUpstream upstream : this.registry.all()) {
			int online = upstream.own(WorkClass.ONLINE);
			int batch = upstream.own(WorkClass.BATCH);
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
		for (Peer peer : this.peers.all()) {
			send(peer, bytes);
		}
		this.channel.flush();
	}

	private void send(Peer peer, byte[] bytes) {
		this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer.address()),
				this.channel.voidPromise());
	}

	private LoadReport report(LoadReport.Builder report, List<UpstreamLoad> loads) {
		this.parts.forEach((part) -> part.write(report));
		this.suspects.own()
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
			.setLeaving(this.leaving)
			.setStoreLost(this.storeLost.getAsBoolean())
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
		this.suspects.peers(breaks);
	}

	private Map<Integer, PeerLoad> loads(LoadReport report) {
		Map<Integer, PeerLoad> loads = new HashMap<>();
		report.getLoadsList()
			.forEach((load) -> loads.merge(load.getUpstream(), load(report.getInstance(), load), PeerLoad::plus));
		return loads;
	}

	private PeerLoad load(String peer, UpstreamLoad load) {
		boolean givesFirst = load.getBatch() > 0 && this.turns.givesFirst(peer, load.getUpstream());
		return new PeerLoad(load.getOnline(), load.getBatch(), givesFirst ? load.getBatch() : 0);
	}

	@Override
	public void close() {
		this.channel.close();
	}

	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			LoadExchange exchange = LoadExchange.this;
			try {
				LoadReport report = LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
				exchange.peers.take(report).ifPresent((peer) -> taken(peer, report));
				exchange.parts.forEach((part) -> part.read(report));
			}
			catch (InvalidProtocolBufferException ex) {
				LOG.warning("report_malformed", "from", packet.sender(), "error", ex.getMessage());
			}
		}

		private void taken(Peer peer, LoadReport report) {
			LoadExchange exchange = LoadExchange.this;
			exchange.runners = List.of();
			exchange.sums.replace(peer.address(), loads(report));
			if (report.getSuspectsCount() > 0) {
				sumBreaks();
			}
			exchange.listeners.forEach(Runnable::run);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOG.debug("report_not_delivered", "error", cause);
		}

	}

}
