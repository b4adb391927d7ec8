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
import org.ragworthook.gateway.account.AccountGauges;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.account.Accounts;
import org.ragworthook.gateway.account.ConfigurationLease;
import org.ragworthook.gateway.account.LeaseTerms;
import org.ragworthook.gateway.account.QuotaLedger;
import org.ragworthook.gateway.demand.DemandForecasts;
import org.ragworthook.gateway.demand.EntryPressure;
import org.ragworthook.gateway.demand.JobShedding;
import org.ragworthook.gateway.demand.PressureReports;
import org.ragworthook.gateway.dispatch.Dispatcher;
import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.CoalescingDelay;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.feed.FeedChecks;
import org.ragworthook.gateway.feed.FeedFollower;
import org.ragworthook.gateway.feed.FeedListener;
import org.ragworthook.gateway.feed.StoreHealth;
import org.ragworthook.gateway.feed.UpstreamFeedListener;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.job.JobItem;
import org.ragworthook.gateway.job.JobOwners;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobRunner;
import org.ragworthook.gateway.job.JobStore;
import org.ragworthook.gateway.job.ProgressStore;
import org.ragworthook.gateway.memory.ByteBudget;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.observe.ObservedSpeeds;
import org.ragworthook.gateway.observe.SpeedReports;
import org.ragworthook.gateway.online.CallerAccess;
import org.ragworthook.gateway.online.Frontend;
import org.ragworthook.gateway.online.FrontendFactory;
import org.ragworthook.gateway.online.OnlineContext;
import org.ragworthook.gateway.online.StopSchedule;
import org.ragworthook.gateway.peer.FeedVersionReports;
import org.ragworthook.gateway.peer.LeaseReports;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.PeerDirectory;
import org.ragworthook.gateway.peer.PeerIdentity;
import org.ragworthook.gateway.peer.QuotaReports;
import org.ragworthook.gateway.peer.RendezvousOwners;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.route.CallerLimits;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.suspect.PoisonPartDetector;
import org.ragworthook.gateway.suspect.PoisonPartReports;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SpeedProfiles;
import org.ragworthook.gateway.upstream.UnreportedPlacements;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * A running process of the gateway, which serves callers' requests, runs batch jobs, or
 * both, depending on its settings.
 */
public final class GatewayProcess implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(GatewayProcess.class);

	/** About a hundred round trips. */
	private static final Duration UPSTREAM_CONNECT_TIMEOUT = Duration.ofMillis(500);

	/** For collections that change seldom: a watch makes its next call at once. */
	private static final Supplier<Duration> NO_COALESCING = () -> Duration.ZERO;

	/** At this interval about one log line in a hundred shows the store calls. */
	private static final Duration STORE_CALLS_LOG_INTERVAL = Duration.ofSeconds(10);

	private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(50);

	private static final Duration OPEN_REQUESTS_TIMEOUT = Duration.ofMillis(300);

	private volatile GatewaySettings settings;

	private final Vertx vertx;

	private final EventLoop loop;

	private final Timers timers;

	private final Ticker ticker = Ticker.system();

	private final StopSchedule schedule = StopSchedule.of(this.ticker);

	private final ActiveConfiguration configuration = ActiveConfiguration.empty();

	private final UpstreamRegistry upstreams = UpstreamRegistry.empty();

	private final StoreHealth health = StoreHealth.of(this.ticker);

	private final GatewayMetrics metrics = GatewayMetrics.empty();

	private final PoisonRequestDetector suspects = PoisonRequestDetector.empty(this.ticker);

	private final ObservedSpeeds observed = ObservedSpeeds.empty(this.upstreams, this.ticker, this.metrics);

	private final PoisonPartDetector poisonParts = PoisonPartDetector.empty(this.ticker, this.upstreams::activeAfter);

	private final AccountLoads accountLoads;

	private final ServerStarter servers;

	private final Platform platform;

	private final JobStore jobs;

	private final ConditionalWriter writer;

	private final PeerReports peers;

	private final EntryPressure pressure;

	private final PeerIdentity self;

	private final long startedMillis = System.currentTimeMillis();

	private final Optional<ConfigurationLease> lease;

	private final AccessControl accessControl;

	private final UpstreamFeedListener upstreamFeed;

	private final List<FeedFollower<?>> followers = new CopyOnWriteArrayList<>();

	private final FeedVersionReports feedVersions;

	private final FeedChecks feedChecks;

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
		this.timers = new EventLoopTimers(this.loop);
		this.servers = new ServerStarter(this.vertx, this.timers, () -> this.leaving);
		this.platform = adapter
			.apply(new PlatformContext(this.loop, this.ticker, this.timers, this.metrics, this.health));
		this.writer = ConditionalWriter.of(this.platform.store(), Stamps
			.of(settings.instance() + "-" + this.startedMillis + "-" + ThreadLocalRandom.current().nextInt()));
		this.jobs = JobStore.of(this.platform.store(), this.writer);
		this.self = new PeerIdentity(settings.instance(), this.startedMillis, settings.peerAddress(),
				settings.runsJobs());
		this.accountLoads = AccountLoads.of(this.ticker, this::accounts, settings.instance());
		this.peers = PeerReports.start(this.self, settings.failureDomain(), this.upstreams, this.suspects,
				this.accountLoads, this.loop, this.ticker, this.timers);
		this.pressure = EntryPressure.start(this.ticker, this.timers);
		PressureReports.attach(this.peers.exchange(), this.pressure);
		PoisonPartReports.attach(this.peers.exchange(), this.poisonParts, this.ticker);
		SpeedReports.attach(this.peers.exchange(), this.observed, this.ticker);
		this.feedVersions = FeedVersionReports.attach(this.peers.exchange(), this.health, this.ticker);
		FeedChecks checks = FeedChecks.start(this.timers, this.peers.fleet()::checksHere);
		this.feedChecks = checks;
		this.peers.fleet().checksFeeds(() -> this.health.up() && checks.listed());
		this.lease = settings.bounds().maxRevocationDelay().map(this::lease);
		this.accessControl = AccessControl.of(this::accounts, this.lease);
		this.upstreamFeed = UpstreamFeedListener.of(this.upstreams, this.health, this.timers);
		PeerDirectory.join(this.platform.store(), this.writer, this.platform.peerAddresses(), this.peers.exchange(),
				this.self, this.timers);
	}

	/**
	 * Starts a process.
	 * @param settings the settings of the process
	 * @param adapter creates the platform
	 * @return the process
	 */
	public static GatewayProcess start(GatewaySettings settings, Function<PlatformContext, Platform> adapter) {
		GatewayProcess process = new GatewayProcess(Objects.requireNonNull(settings, "settings is null"),
				Objects.requireNonNull(adapter, "adapter is null"));
		process.loop.execute(process::begin);
		LOG.info("started", "instance", settings.instance(), "domain", settings.failureDomain(), "callers",
				settings.frontAddress().isPresent(), "jobs", settings.runsJobs());
		return process;
	}

	private void begin() {
		SpeedProfiles speedProfiles = speedProfiles();
		Placement placement = Placement.of(this.settings.failureDomain(), speedProfiles, this.ticker,
				ThreadLocalRandom.current());
		ByteBudget budget = budget();
		ConnectionPool connections = ConnectionPool.of(this.loop, this.ticker, UPSTREAM_CONNECT_TIMEOUT,
				this.platform.headers().requestId(), budget, this.peers.pauseDetector()::pauses, this::maxValueBytes);
		connections.onSkippedResponse(this.metrics::responseSkipped);
		this.upstreams.onRestart((earlier) -> connections.evict(earlier.address()));
		startMetrics();
		this.timers.schedule(STORE_CALLS_LOG_INTERVAL, this::logStoreCalls);
		this.peers.fleet().storeLost(() -> this.health.downFor().compareTo(IsolationRule.STORE_LOST_TIMEOUT) >= 0);
		FeedFollower<?> upstreamFollower = follow(this.platform.upstreams(), this.upstreamFeed, this::coalescingDelay,
				true);
		this.feedVersions.addExpiring(upstreamFollower);
		this.feedChecks.add(upstreamFollower);
		FeedFollower<?> configurationFollower = follow(this.platform.configuration(), new ConfigurationListener(),
				NO_COALESCING, true);
		this.feedVersions.add(configurationFollower);
		this.feedChecks.add(configurationFollower);
		this.configuration.confirmationAge(configurationFollower::confirmationAge);
		if (this.settings.runsJobs()) {
			runJobs(placement, speedProfiles, connections);
		}
		if (this.settings.frontAddress().isPresent()) {
			serveCallers(placement, connections);
		}
	}

	/**
	 * Returns the limit on an event, which is a part of a result that is stored or of a
	 * text that a caller may send back in a request.
	 * @return the number of bytes
	 */
	private long maxValueBytes() {
		CallerLimits limits = this.configuration.current().map(Configuration::limits).orElse(CallerLimits.DEFAULT);
		return Math.max(this.platform.store().maxObjectBytes(), limits.maxBodyBytes());
	}

	private ByteBudget budget() {
		ByteBudget budget = ByteBudget.of(
				ByteBudget.limit(this.settings.memoryBytes(), Runtime.getRuntime().maxMemory()), this.ticker,
				this.loop);
		this.metrics.memory(budget);
		return budget;
	}

	/**
	 * Logs how often this process has called the store, so that the cause of a high call
	 * rate can be found after the process, and its metrics, are gone.
	 */
	private void logStoreCalls() {
		LOG.info("store_calls", "since_start", this.metrics.storeCalls());
		if (!this.leaving) {
			this.timers.schedule(STORE_CALLS_LOG_INTERVAL, this::logStoreCalls);
		}
	}

	private void startMetrics() {
		this.metrics.gauge("upstreams", this.upstreams, (all) -> all.all().size());
		this.metrics.gauge("upstreams.out_of_use", this.upstreams,
				(all) -> all.all().stream().filter((upstream) -> !upstream.inUse()).count());
		this.metrics.gauge("peers.live", this.peers, (all) -> all.fleet().peerCounts().live());
		this.metrics.gauge("behind.millis", this.pressure, (present) -> present.behind().toMillis());
		this.metrics.gauge("configuration.version", this.configuration,
				(present) -> present.current().map(Configuration::version).orElse(0L));
		this.metrics.gauge("store.up", this.health, (present) -> present.up() ? 1 : 0);
		AccountGauges.register(this.accountLoads, this.metrics);
		this.servers.start("metrics", this.settings.metricsAddress(), new MetricsHandler(this.metrics));
	}

	/**
	 * Returns how long a watch waits after changes of upstreams before its next call, so
	 * that not every process calls the store for every change.
	 * @return the delay
	 */
	private Duration coalescingDelay() {
		return CoalescingDelay.forDrainNotice(this.settings.bounds().drainDeadline())
			.forProcesses(this.peers.fleet().peerCounts().known() + 1);
	}

	private <T> FeedFollower<T> followUnchecked(Feed<T> feed, FeedListener<T> listener,
			Supplier<Duration> coalescingDelay) {
		FeedFollower<T> follower = follow(feed, listener, coalescingDelay, false);
		this.feedVersions.add(follower);
		return follower;
	}

	private <T> FeedFollower<T> follow(Feed<T> feed, FeedListener<T> listener, Supplier<Duration> coalescingDelay,
			boolean checkable) {
		FeedFollower<T> follower = FeedFollower.builder(feed, listener)
			.ticker(this.ticker)
			.timers(this.timers)
			.loop(this.loop)
			.random(ThreadLocalRandom.current())
			.maxWait(this.settings.bounds().watchTimeout())
			.health(this.health)
			.coalescingDelay(coalescingDelay)
			.checkable(checkable)
			.start();
		this.followers.add(follower);
		return follower;
	}

	private void serveCallers(Placement placement, ConnectionPool connections) {
		OnlineContext context = new OnlineContext(this.configuration, this.upstreams, placement,
				UnreportedPlacements.of(this.ticker, LoadExchange.MEAN_REPORT_AGE,
						this.peers.fleet()::liveOtherEntries),
				connections, this.platform.headers(), this.platform.promptFormat(), this.ticker, this.timers,
				ThreadLocalRandom.current(), this.suspects, this.poisonParts, this.metrics, this.peers.dispatchClient(),
				this.accountLoads, this.peers.origins(), this.observed, this.peers.dispatch()::loadChanged,
				this.peers.exchange()::flush, this.schedule);
		CallerAccess access = callerAccess();
		JobReader reader = JobReader.of(this.jobs, this.peers.results(), this.ticker, this.timers);
		this.peers.results().onUpdate(reader::onResultsReported);
		Frontend front = FrontendFactory.of(this.vertx, context, access, this.jobs, reader, this.platform.jobFormat(),
				this.loop, this.health::up,
				new JobBacklog(this.peers.exchange(), this.peers.jobChanges(), this.platform::jobs), this.pressure);
		front.shedConnectionsWhile(this::shedsConnections);
		this.configuration.onChange(front::configurationChanged);
		this.frontend = Optional.of(front);
		this.peers.exchange().onReport(front::capacityChanged);
		Address address = this.settings.frontAddress().orElseThrow();
		this.servers.start("callers", () -> front.listen(address));
		this.settings.readinessAddress()
			.ifPresent((readiness) -> this.servers.start("readiness", readiness, new ReadinessHandler(this::ready)));
	}

	private boolean shedsConnections() {
		boolean keysUnavailable = this.accessControl.unavailable();
		return (keysUnavailable || !this.health.up()) && IsolationRule.shedsConnections(this.health.downFor(),
				keysUnavailable, this.peers.fleet().peerCounts());
	}

	private CallerAccess callerAccess() {
		QuotaLedger quotas = QuotaLedger.of(this.ticker, this.startedMillis, this::accounts,
				this.peers.fleet()::liveEntryFraction, this.peers.fleet()::knownEntries, ThreadLocalRandom.current());
		QuotaReports.attach(this.peers.exchange(), quotas);
		this.lease.ifPresent((held) -> LeaseReports.attach(this.peers.exchange(), held, this.self, this.ticker,
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

	private SpeedProfiles speedProfiles() {
		return SpeedProfiles.builder()
			.serving(this.upstreams::serving)
			.speeds(this.observed)
			.latencyTarget(
					(service) -> this.configuration.current().flatMap((present) -> present.latencyTarget(service)))
			.ticker(this.ticker)
			.random(ThreadLocalRandom.current())
			.build();
	}

	private void runJobs(Placement placement, SpeedProfiles speedProfiles, ConnectionPool connections) {
		ProgressStore progress = ProgressStore.of(this.platform.store(), this.writer, this.platform.progress(),
				this.settings.instance());
		JobOwners owners = RendezvousOwners.of(this.settings.instance(), this.peers.fleet()::ownerCandidates);
		JobShedding shedding = JobShedding.start(this.pressure::isBehind, this.peers.exchange()::flush, this.ticker,
				this.timers);
		this.peers.fleet().shedsJobs(shedding::shedsJobs);
		this.metrics.gauge("jobs.shed", shedding, (present) -> present.shedsJobs() ? 1 : 0);
		DemandForecasts demand = DemandForecasts.start(this.upstreams, this.ticker, this.timers);
		this.metrics.gauge("slots.for.rise", demand, DemandForecasts::slotsForRises);
		JobRunner jobRunner = JobRunner.of(new JobRunner.Dependencies(this.jobs, progress, owners,
				this.peers.fleet()::settled, this.peers.fleet()::slotClaimOrder, this.configuration, this.upstreams,
				placement, connections, this.platform.headers(), this.ticker, System::currentTimeMillis, this.timers,
				ThreadLocalRandom.current()::nextDouble, this.loop, this.metrics, this.settings.queueTimeout(),
				this.peers.pauseDetector()::pauses, this.peers.fleet()::runnerStates, this.peers.exchange()::flush,
				this.poisonParts, this::sharedParts, this.observed, this.accountLoads, this.pressure::isBehind,
				demand::slotsForRise));
		this.accountLoads.items(jobRunner::accountCounts);
		this.runner = Optional.of(jobRunner);
		this.peers.dispatch()
			.dispatcher(Dispatcher.of(this.upstreams, this.accountLoads, speedProfiles, this.ticker,
					ThreadLocalRandom.current(), firstGrant(), this.peers.dispatch()));
		this.peers.exchange().wantsSlots(jobRunner::hasWaitingItems);
		this.peers.exchange().ownedBacklog(jobRunner::backlog);
		this.peers.results().ownResults(jobRunner::publishedResults);
		this.peers.exchange().onReport(jobRunner::yieldSlots);
		followJobs(jobRunner, owners);
		followUnchecked(this.platform.retirements(), new RetirementListener(this.settings.instance(),
				this.peers.exchange(), jobRunner, this.platform::reportRetired, this.timers, this.loop), NO_COALESCING);
		jobRunner.start();
	}

	private List<Long> sharedParts(JobItem item) {
		return item.header(this.platform.headers().promptParts())
			.map(this.platform.promptFormat()::parse)
			.map(PoisonPartDetector::sharedParts)
			.orElse(List.of());
	}

	private void followJobs(JobRunner jobRunner, JobOwners owners) {
		FeedFollower<Job> follower = followUnchecked(this.platform.jobs(), new JobListener(jobRunner),
				() -> CoalescingDelay.forJobs(this.peers.fleet().liveRunners().size()));
		this.peers.jobChanges().onChange((jobId, ended) -> {
			if (owners.ownedHere(jobId)) {
				follower.pollNow();
				follower.expectChange(() -> jobRunner.knows(jobId, ended));
			}
		});
	}

	/**
	 * Returns the number of the first grant of this run. It exceeds those of earlier
	 * runs, which made fewer than one grant per microsecond.
	 * @return the time in microseconds, Unix time
	 */
	private static long firstGrant() {
		return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
	}

	/**
	 * Returns the pressure on this process, which takes further causes for being behind.
	 * @return the pressure
	 */
	public EntryPressure pressure() {
		return this.pressure;
	}

	/**
	 * Applies settings that were read again. The grace period takes effect at once, all
	 * other settings at the next start.
	 * @param newest the settings
	 */
	public void reload(GatewaySettings newest) {
		boolean restart = !newest.withGrace(this.settings.grace()).equals(this.settings);
		LOG.info("settings_reloaded", "changed", !newest.equals(this.settings), "needs_restart", restart, "grace_ms",
				newest.grace().toMillis());
		this.settings = this.settings.withGrace(newest.grace());
	}

	/**
	 * Stops the process and waits until open requests have ended and finished results are
	 * published, or the grace period is nearly over. Requests are still accepted while
	 * the balancer may direct callers here.
	 */
	public void stop() {
		stop(Duration.ZERO);
	}

	/**
	 * Stops the process as {@link #stop()} does, some time after the signal.
	 * @param sinceSignal the part of the grace period that has passed
	 */
	public void stop(Duration sinceSignal) {
		LOG.info("stopping", "instance", this.settings.instance());
		this.schedule.begin(sinceSignal, this.settings.grace());
		this.leaving = true;
		CompletableFuture<Void> idle = new CompletableFuture<>();
		this.loop.execute(() -> {
			CompletableFuture<Void> left = CompletableFuture.<Void>completedFuture(null)
				.thenCompose(
						(begun) -> this.runner.map(JobRunner::stop).orElse(CompletableFuture.completedFuture(null)))
				.whenComplete((saved, failure) -> this.peers.exchange().leave());
			this.timers.schedule(STOP_POLL_INTERVAL, () -> advanceStop(left, idle));
		});
		idle.completeOnTimeout(null, this.schedule.untilExit().toNanos(), TimeUnit.NANOSECONDS).join();
		LOG.info("stopped", "instance", this.settings.instance(), "open", openAtEnd(), "ms",
				this.schedule.elapsedMillis());
	}

	/**
	 * Logs the open requests and returns how many there are, on the event loop, which may
	 * be too busy to do so in time.
	 * @return the count, or -1 if the event loop did not state it
	 */
	private int openAtEnd() {
		CompletableFuture<Integer> open = new CompletableFuture<>();
		this.loop.execute(() -> {
			this.frontend.ifPresent(Frontend::logOpenRequests);
			open.complete(this.frontend.map(Frontend::openRequests).orElse(0));
		});
		return open.completeOnTimeout(-1, OPEN_REQUESTS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).join();
	}

	/**
	 * Ends the process at once and aborts open requests.
	 * <p>
	 * Vert.x closes a connection only once all is written, and its event loop, which ends
	 * without a quiet period, may leave channels open. The caller of such a connection
	 * would see neither an end nor a reset until the virtual machine exits, so the
	 * connections of callers are closed before.
	 */
	@Override
	public void close() {
		this.leaving = true;
		this.followers.forEach(FeedFollower::stop);
		if (!this.loop.isShuttingDown()) {
			CompletableFuture.runAsync(() -> this.frontend.ifPresent(Frontend::close), this.loop).join();
		}
		this.peers.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Carries out what the schedule of the stop demands, until nothing is left to do.
	 * Afterwards nothing is read from callers.
	 * @param left completed once the progress of batch jobs is saved and the peers have
	 * been told that this process leaves
	 * @param idle completed once nothing is left to do
	 */
	private void advanceStop(CompletableFuture<Void> left, CompletableFuture<Void> idle) {
		this.frontend.ifPresent(Frontend::advanceStop);
		boolean mayExit = this.frontend.isEmpty() || this.schedule.mayExit();
		boolean published = this.runner.map((present) -> !present.hasUnpublishedResults()).orElse(true);
		if (mayExit && left.isDone() && published && this.frontend.map(Frontend::closeIfIdle).orElse(true)) {
			idle.complete(null);
			return;
		}
		this.timers.schedule(STOP_POLL_INTERVAL, () -> advanceStop(left, idle));
	}

	/**
	 * The parts of the process that an adapter uses.
	 *
	 * @param loop the event loop
	 * @param ticker the monotonic clock
	 * @param timers schedules tasks on the event loop
	 * @param metrics counts the adapter's calls of the store
	 * @param storeHealth records the adapter's calls of the store that get no response
	 */
	public record PlatformContext(EventLoop loop, Ticker ticker, Timers timers, GatewayMetrics metrics,
			StoreHealth storeHealth) {
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
			all.forEach((change) -> change.value().ifPresent(this::put));
			this.runner.initialListingComplete();
		}

		private void put(Job job) {
			try {
				this.runner.put(job, false);
			}
			catch (RuntimeException ex) {
				// The jobs behind this one would not be known until the next listing.
				LOG.warning("job_not_added", "job", job.id(), "error", ex);
			}
		}

		@Override
		public void changed(Change<Job> change) {
			change.value().ifPresent((job) -> this.runner.put(job, true));
		}

	}

}
