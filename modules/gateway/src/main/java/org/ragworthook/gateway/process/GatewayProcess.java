package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.ContextInternal;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.AccessControl;
import org.ragworthook.gateway.account.Accounts;
import org.ragworthook.gateway.account.ConfigurationLease;
import org.ragworthook.gateway.account.LeaseTerms;
import org.ragworthook.gateway.account.QuotaLedger;
import org.ragworthook.gateway.dispatch.Dispatcher;
import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.CoalescingDelay;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.feed.FeedFollower;
import org.ragworthook.gateway.feed.FeedListener;
import org.ragworthook.gateway.feed.StoreHealth;
import org.ragworthook.gateway.feed.UpstreamFeedListener;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.job.JobOwners;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobRunner;
import org.ragworthook.gateway.job.JobStore;
import org.ragworthook.gateway.job.ProgressStore;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.online.CallerAccess;
import org.ragworthook.gateway.online.Frontend;
import org.ragworthook.gateway.online.FrontendFactory;
import org.ragworthook.gateway.online.OnlineContext;
import org.ragworthook.gateway.peer.LeaseReports;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.PeerDirectory;
import org.ragworthook.gateway.peer.PeerIdentity;
import org.ragworthook.gateway.peer.QuotaReports;
import org.ragworthook.gateway.peer.RendezvousOwners;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.UnreportedPlacements;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * A running process: takes callers' requests, runs batch jobs, or both, by its settings.
 */
public final class GatewayProcess implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(GatewayProcess.class);

	/** How long a connection to an upstream may take: some hundred round trips. */
	private static final Duration UPSTREAM_CONNECT = Duration.ofMillis(500);

	/**
	 * How long callers may still come after the stop began: three looks of the balancer.
	 */
	private static final Duration STAY = Duration.ofMillis(3_000);

	/** What is left of the grace when the process ends whatever is open. */
	private static final Duration MARGIN = Duration.ofMillis(700);

	/** For collections that change seldom: a watch is taken up again at once. */
	private static final Supplier<Duration> AT_ONCE = () -> Duration.ZERO;

	/** How often the calls of the store are logged: one line in some hundred. */
	private static final Duration STORE_CALLS_SHOWN = Duration.ofSeconds(10);

	private static final Duration LOOK = Duration.ofMillis(50);

	private volatile GatewaySettings settings;

	private final Vertx vertx;

	private final EventLoop loop;

	private final Timers timers;

	private final Ticker ticker = Ticker.system();

	private final ActiveConfiguration configuration = ActiveConfiguration.empty();

	private final UpstreamRegistry upstreams = UpstreamRegistry.empty();

	private final StoreHealth health = StoreHealth.of(this.ticker);

	private final GatewayMetrics metrics = GatewayMetrics.empty();

	private final PoisonRequestDetector suspects = PoisonRequestDetector.empty(this.ticker);

	private final Listening listening;

	private final Platform platform;

	private final JobStore jobs;

	private final ConditionalWriter writer;

	private final PeerLinks peers;

	private final PeerIdentity self;

	private final long startedMillis = System.currentTimeMillis();

	private final Optional<ConfigurationLease> lease;

	private final AccessControl accessControl;

	private final UpstreamFeedListener upstreamFeed;

	private final List<FeedFollower<?>> followers = new CopyOnWriteArrayList<>();

	private Optional<Frontend> frontend = Optional.empty();

	private Optional<JobRunner> runner = Optional.empty();

	private volatile boolean leaving;

	private GatewayProcess(GatewaySettings settings, Function<PlatformContext, Platform> adapter) {
		this.settings = settings;
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
			.setWorkerPoolSize(1)
			.setInternalBlockingPoolSize(1)
			.setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1))
			.setFileSystemOptions(
					new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
		this.loop = ((ContextInternal) this.vertx.getOrCreateContext()).nettyEventLoop();
		this.timers = new LoopTimers(this.loop);
		this.listening = new Listening(this.vertx, this.timers, () -> this.leaving);
		this.platform = adapter.apply(new PlatformContext(this.loop, this.ticker, this.timers, this.metrics));
		this.writer = ConditionalWriter.of(this.platform.store(), Stamps
			.of(settings.instance() + "-" + this.startedMillis + "-" + ThreadLocalRandom.current().nextInt()));
		this.jobs = JobStore.of(this.platform.store(), this.writer);
		this.self = new PeerIdentity(settings.instance(), this.startedMillis, settings.peers(), settings.runsJobs());
		this.peers = PeerLinks.start(this.self, settings.failureDomain(), this.upstreams, this.suspects, this.loop,
				this.ticker, this.timers);
		this.lease = settings.bounds().maxRevocationDelay().map(this::lease);
		this.accessControl = AccessControl.of(this::accounts, this.lease);
		this.upstreamFeed = UpstreamFeedListener.of(this.upstreams, this.health, this.timers);
		PeerDirectory.join(this.platform.store(), this.writer, this.platform.peerAddresses(), this.peers.loads(),
				this.self, this.timers);
	}

	/**
	 * Starts a process.
	 * @param settings what it is to do
	 * @param adapter makes the platform
	 * @return the process
	 */
	public static GatewayProcess start(GatewaySettings settings, Function<PlatformContext, Platform> adapter) {
		GatewayProcess process = new GatewayProcess(Objects.requireNonNull(settings, "settings is null"),
				Objects.requireNonNull(adapter, "adapter is null"));
		process.loop.execute(process::begin);
		LOG.info("started", "instance", settings.instance(), "domain", settings.failureDomain(), "callers",
				settings.front().isPresent(), "jobs", settings.runsJobs());
		return process;
	}

	private void begin() {
		Placement placement = Placement.of(this.settings.failureDomain(), this.ticker, ThreadLocalRandom.current());
		ConnectionPool connections = ConnectionPool.of(this.loop, this.ticker, UPSTREAM_CONNECT,
				this.platform.headers().requestId());
		showMetrics();
		this.timers.schedule(STORE_CALLS_SHOWN, this::showStoreCalls);
		this.peers.fleet().storeLost(() -> this.health.downFor().compareTo(IsolationRule.STORE_LOST) >= 0);
		follow(this.platform.upstreams(), this.upstreamFeed, this::gathering);
		follow(this.platform.configuration(), new ConfigurationListener(), AT_ONCE);
		if (this.settings.runsJobs()) {
			runJobs(placement, connections);
		}
		if (this.settings.front().isPresent()) {
			serveCallers(placement, connections);
		}
	}

	/**
	 * Logs how often this process has called the store, so that the cause of many calls
	 * is found without the metrics of a process that is gone.
	 */
	private void showStoreCalls() {
		LOG.info("store_calls", "since_start", this.metrics.storeCalls());
		if (!this.leaving) {
			this.timers.schedule(STORE_CALLS_SHOWN, this::showStoreCalls);
		}
	}

	private void showMetrics() {
		this.metrics.gauge("upstreams", this.upstreams, (all) -> all.all().size());
		this.metrics.gauge("configuration.version", this.configuration,
				(present) -> present.current().map(Configuration::version).orElse(0L));
		this.metrics.gauge("store.up", this.health, (present) -> present.up() ? 1 : 0);
		this.listening.start("metrics", this.settings.metrics(), new MetricsServer(this.metrics));
	}

	/**
	 * Returns how long changes gather where they are frequent, so that the processes that
	 * watch do not all call the store at each.
	 * @return the pause
	 */
	private Duration gathering() {
		return CoalescingDelay.forDrainNotice(this.settings.bounds().drainDeadline())
			.forProcesses(this.peers.fleet().peerCounts().known() + 1);
	}

	private <T> FeedFollower<T> follow(Feed<T> feed, FeedListener<T> listener, Supplier<Duration> gathering) {
		FeedFollower<T> follower = FeedFollower.start(feed, listener, this.timers, this.loop,
				this.settings.bounds().watch(), this.health, gathering);
		this.followers.add(follower);
		return follower;
	}

	private void serveCallers(Placement placement, ConnectionPool connections) {
		OnlineContext context = new OnlineContext(this.configuration, this.upstreams, placement,
				UnreportedPlacements.of(this.ticker, LoadExchange.MEAN_REPORT_AGE,
						this.peers.fleet()::liveOtherEntries),
				connections, this.platform.headers(), this.platform.promptFormat(), this.ticker, this.timers,
				ThreadLocalRandom.current(), this.suspects, this.metrics, this.peers.slots(),
				this.peers.dispatch()::loadChanged, this.peers.loads()::flush);
		CallerAccess access = access();
		JobReader reader = JobReader.of(this.jobs, this.peers.listings(), this.timers);
		this.peers.listings().onUpdate(reader::onResultsReported);
		Frontend front = FrontendFactory.of(this.vertx, context, access, this.jobs, reader, this.platform.jobFormat(),
				this.loop, this.health::up,
				new JobBacklog(this.peers.loads(), this.peers.changedJobs(), this.platform::jobs));
		front.shedConnectionsWhile(this::shedsConnections);
		this.configuration.onChange(front::configurationChanged);
		this.frontend = Optional.of(front);
		this.peers.loads().onReport(front::capacityChanged);
		Address address = this.settings.front().orElseThrow();
		this.listening.start("callers", () -> front.listen(address));
		this.settings.readiness()
			.ifPresent((place) -> this.listening.start("readiness", place, new ReadinessServer(this::ready)));
	}

	private boolean shedsConnections() {
		boolean keysLost = this.accessControl.unavailable();
		return (keysLost || !this.health.up())
				&& IsolationRule.shedsConnections(this.health.downFor(), keysLost, this.peers.fleet().peerCounts());
	}

	private CallerAccess access() {
		QuotaLedger quotas = QuotaLedger.of(this.ticker, this.startedMillis, this::accounts,
				this.peers.fleet()::liveEntryFraction, this.peers.fleet()::knownEntries, ThreadLocalRandom.current());
		QuotaReports.register(this.peers.loads(), quotas);
		this.lease.ifPresent((held) -> LeaseReports.register(this.peers.loads(), held, this.self, this.ticker,
				() -> this.configuration.current().map(Configuration::version).orElse(0L)));
		return new CallerAccess(this.accessControl, quotas, this.platform.headers(), this.metrics);
	}

	private ConfigurationLease lease(Duration bound) {
		ConfigurationCheck check = new ConfigurationCheck(this.platform.configuration(), this.configuration, this.loop);
		return ConfigurationLease.of(this.ticker, this.timers, this.loop, check, LeaseTerms.ofRevocationBound(bound),
				ThreadLocalRandom.current());
	}

	private Accounts accounts() {
		return this.configuration.current().map(Configuration::accounts).orElse(Accounts.none());
	}

	private boolean ready() {
		return !this.leaving && this.configuration.current().isPresent() && this.upstreamFeed.hasListed()
				&& !this.accessControl.unavailable()
				&& !IsolationRule.isolated(this.health.downFor(), this.peers.fleet().peerCounts());
	}

	private void runJobs(Placement placement, ConnectionPool connections) {
		ProgressStore progress = ProgressStore.of(this.platform.store(), this.writer, this.platform.progress(),
				this.settings.instance());
		JobOwners owners = RendezvousOwners.of(this.settings.instance(), this.peers.fleet()::ownerCandidates);
		JobRunner jobRunner = JobRunner.of(new JobRunner.Dependencies(this.jobs, progress, owners,
				this.peers.fleet()::settled, this.peers.fleet()::slotClaimOrder, this.configuration, this.upstreams,
				placement, connections, this.platform.headers(), this.ticker, System::currentTimeMillis, this.timers,
				ThreadLocalRandom.current()::nextDouble, this.loop, this.metrics, this.settings.queueTimeout(),
				this.peers.pauses()::pauses, this.peers.fleet()::runnerStates, this.peers.loads()::flush));
		this.runner = Optional.of(jobRunner);
		this.peers.dispatch()
			.dispatcher(Dispatcher.of(this.upstreams, this.ticker, ThreadLocalRandom.current(), firstGrant(),
					this.peers.dispatch()));
		this.peers.loads().wantsSlots(jobRunner::hasWaitingItems);
		this.peers.loads().ownedBacklog(jobRunner::backlog);
		this.peers.listings().own(jobRunner::publishedResults);
		this.peers.loads().onReport(jobRunner::yieldSlots);
		followJobs(jobRunner, owners);
		follow(this.platform.retirements(), new Retirement(this.settings.instance(), this.peers.loads(), jobRunner,
				this.platform::reportRetired, this.timers, this.loop), AT_ONCE);
		jobRunner.start();
	}

	private void followJobs(JobRunner jobRunner, JobOwners owners) {
		FeedFollower<Job> follower = follow(this.platform.jobs(), new JobListener(jobRunner),
				() -> CoalescingDelay.forJobs(this.peers.fleet().liveRunners().size()));
		this.peers.changedJobs().onChange((jobId) -> {
			if (owners.ownedHere(jobId)) {
				follower.pollNow();
			}
		});
	}

	/**
	 * Returns a number above those of an earlier run's grants, of which there were fewer
	 * than one in a microsecond.
	 * @return the number
	 */
	private static long firstGrant() {
		return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
	}

	/**
	 * Takes settings that were read again. How long a stop may take holds at once;
	 * addresses and duties hold from the next start.
	 * @param newest the settings
	 */
	public void reload(GatewaySettings newest) {
		boolean restart = !newest.withGrace(this.settings.grace()).equals(this.settings);
		LOG.info("settings_reloaded", "changed", !newest.equals(this.settings), "needs_restart", restart, "grace_ms",
				newest.grace().toMillis());
		this.settings = this.settings.withGrace(newest.grace());
	}

	/**
	 * Stops: takes no new connections, lets requests end, lists what is finished.
	 */
	public void stop() {
		LOG.info("stopping", "instance", this.settings.instance());
		long begun = this.ticker.nanos();
		this.leaving = true;
		this.loop.execute(() -> {
			this.frontend.ifPresent(Frontend::drain);
			this.runner.map(JobRunner::stop)
				.orElse(CompletableFuture.completedFuture(null))
				.whenComplete((saved, failure) -> this.peers.loads().leave());
		});
		Duration most = this.settings.grace().minus(MARGIN);
		Duration least = this.frontend.isPresent() ? STAY : Duration.ZERO;
		while (true) {
			Duration gone = Duration.ofNanos(this.ticker.nanos() - begun);
			if (gone.compareTo(most) >= 0 || (gone.compareTo(least) >= 0 && idle())) {
				break;
			}
			if (gone.compareTo(least) >= 0) {
				this.loop.execute(() -> this.frontend.ifPresent(Frontend::rejectNewRequests));
			}
			pause();
		}
		LOG.info("stopped", "instance", this.settings.instance(), "open",
				this.frontend.map(Frontend::openRequests).orElse(0), "ms", (this.ticker.nanos() - begun) / 1_000_000);
	}

	/**
	 * Ends at once, whatever is open.
	 */
	@Override
	public void close() {
		this.leaving = true;
		this.followers.forEach(FeedFollower::stop);
		this.peers.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private boolean idle() {
		CompletableFuture<Boolean> idle = new CompletableFuture<>();
		this.loop.execute(() -> idle.complete(this.frontend.map((front) -> front.openRequests() == 0).orElse(true)
				&& this.runner.map((present) -> !present.hasUnpublishedResults()).orElse(true)));
		return idle.join();
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(LOOK.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * What an adapter may use.
	 *
	 * @param loop the event loop
	 * @param ticker the time
	 * @param timers runs tasks later, on the event loop
	 * @param metrics counts calls of the store
	 */
	public record PlatformContext(EventLoop loop, Ticker ticker, Timers timers, GatewayMetrics metrics) {
	}

	private final class ConfigurationListener implements FeedListener<Configuration> {

		@Override
		public void listed(List<Change<Configuration>> all) {
			all.forEach(this::changed);
		}

		@Override
		public void changed(Change<Configuration> change) {
			change.value().ifPresent(GatewayProcess.this.configuration::offer);
		}

	}

	private record JobListener(JobRunner runner) implements FeedListener<Job> {

		@Override
		public void listed(List<Change<Job>> all) {
			all.forEach((change) -> change.value().ifPresent((job) -> this.runner.put(job, false)));
			this.runner.initialListingComplete();
		}

		@Override
		public void changed(Change<Job> change) {
			change.value().ifPresent((job) -> this.runner.put(job, true));
		}

	}

}
