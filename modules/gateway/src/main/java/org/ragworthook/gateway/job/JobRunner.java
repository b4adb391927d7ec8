package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.AccountCounts;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.observe.ObservedSpeeds;
import org.ragworthook.gateway.observe.RunObserver;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.suspect.PoisonPartDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * Runs the items of the jobs that this process owns, in the slots that online requests
 * leave free, and publishes their results. Runs on the event loop.
 */
public final class JobRunner {

	private static final EventLog LOG = EventLog.of(JobRunner.class);

	/** Interval of the periodic round, which catches what no event triggers. */
	private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);

	/** How long an upstream is avoided at least after its second failure in a row. */
	private static final Duration FAILURE_COOLDOWN = Duration.ofMillis(1_500);

	/**
	 * How long an upstream that refused an item as full is avoided at least: half the
	 * duration of a typical request at a fast one.
	 */
	private static final Duration FULL_COOLDOWN = Duration.ofMillis(300);

	private final Dependencies dependencies;

	private final Map<String, OwnedJob> jobs = new LinkedHashMap<>();

	private final ItemOrder order = new ItemOrder();

	private final ItemScheduler scheduler;

	private final UnplacedItems unplaced;

	private final ProgressSaver progress;

	private final JobLoader loader;

	private final ResultPublisher publisher;

	private final ResultAuthority authority;

	private boolean stopped;

	private volatile boolean hasWaitingItems;

	private boolean initialListingComplete;

	private JobRunner(Dependencies dependencies) {
		this.dependencies = dependencies;
		this.scheduler = new ItemScheduler(dependencies, this.order, new RunHandler());
		this.unplaced = new UnplacedItems(dependencies.upstreams(), dependencies.ticker());
		this.progress = new ProgressSaver(dependencies.progress(), dependencies.ticker(), dependencies.loop());
		this.authority = new ResultAuthority(dependencies.ticker(), dependencies.pauseCount(),
				dependencies.liveRunners());
		this.loader = new JobLoader(dependencies, this.progress, this.authority, this::schedule);
		this.publisher = new ResultPublisher(dependencies, this.authority, this::writeEnded);
	}

	/**
	 * Returns a runner without jobs.
	 * @param dependencies what the runner uses
	 * @return the runner
	 */
	public static JobRunner of(Dependencies dependencies) {
		return new JobRunner(Objects.requireNonNull(dependencies, "dependencies is null"));
	}

	/**
	 * Starts the periodic round.
	 */
	public void start() {
		round();
	}

	private void round() {
		if (this.stopped) {
			return;
		}
		try {
			this.scheduler.withdrawQueued(openRuns());
			this.scheduler.endStalled(openRuns());
			schedule();
			this.unplaced.update(openRuns());
			this.progress.saveIfDue(readyJobs(), this.dependencies.owners().runnerCount());
		}
		catch (RuntimeException ex) {
			LOG.warning("round_failed", "error", ex);
		}
		this.dependencies.timers().schedule(ROUND_INTERVAL, this::round);
	}

	/**
	 * Adds a job, or updates it if its caller has ended it.
	 * @param job the job as it is stored
	 * @param fromWatch whether the job comes from the watch rather than from a listing;
	 * if it was unknown before, it has been accepted a moment ago
	 */
	public void put(Job job, boolean fromWatch) {
		OwnedJob known = this.jobs.get(job.id());
		if (known == null) {
			boolean noResults = fromWatch && this.dependencies.membershipSettled().getAsBoolean()
					&& this.dependencies.owners().ownedHere(job.id());
			this.jobs.put(job.id(), new OwnedJob(job, !noResults));
			LOG.info("job_known", "job", job.id(), "items", job.itemCount(), "ended", job.ended());
		}
		else if (job.ended() && !known.job().ended()) {
			known.job(job);
			markDone(known);
			LOG.info("job_ended", "job", job.id(), "open_items", known.openCount());
		}
		schedule();
	}

	/**
	 * Returns whether a change of a job has arrived here.
	 * @param jobId the job's id
	 * @param ended whether its caller has ended it; otherwise it was accepted
	 * @return whether the job is known, and known to be ended if it was
	 */
	public boolean knows(String jobId, boolean ended) {
		return Optional.ofNullable(this.jobs.get(jobId)).filter((job) -> !ended || job.job().ended()).isPresent();
	}

	/**
	 * Stops all runs, publishes the results of finished items and saves the progress of
	 * the others.
	 * @return completes when another process may resume the items
	 */
	public CompletableFuture<Void> stop() {
		this.stopped = true;
		CompletableFuture<Void> saved = this.progress.save(readyJobs());
		this.jobs.values().forEach(OwnedJob::stopRuns);
		publishRemaining();
		return saved;
	}

	/**
	 * Publishes results of a process that stops; one write takes one segment of a job.
	 */
	private void publishRemaining() {
		this.jobs.values().stream().filter(OwnedJob::hasUnpublished).forEach(this.publisher::publish);
	}

	private void writeEnded() {
		if (this.stopped) {
			publishRemaining();
		}
		else {
			schedule();
		}
	}

	/**
	 * Returns whether results wait to be published.
	 * @return whether any job has some, or a write is in progress
	 */
	public boolean hasUnpublishedResults() {
		return this.jobs.values().stream().anyMatch((job) -> job.hasUnpublished() || job.writing());
	}

	/**
	 * Called when all stored jobs have been added.
	 */
	public void initialListingComplete() {
		this.initialListingComplete = true;
	}

	/**
	 * Returns the tokens of the unfinished items of this process's jobs. A job that is
	 * not loaded yet counts with all its items.
	 * @return tokens by backlog key (route and account), or empty while this process does
	 * not know which jobs it owns
	 */
	public Optional<Map<Integer, Long>> backlog() {
		Optional<Configuration> configuration = this.dependencies.configuration().current();
		if (!this.initialListingComplete || configuration.isEmpty()
				|| !this.dependencies.membershipSettled().getAsBoolean()) {
			return Optional.empty();
		}
		Map<Integer, Long> tokens = new HashMap<>();
		for (OwnedJob job : this.jobs.values()) {
			if (job.phase() != OwnedJob.Phase.DONE && this.dependencies.owners().ownedHere(job.job().id())) {
				configuration.get()
					.route(job.job().host(), job.job().path())
					.filter((route) -> route.maxQueuedTokens() > 0)
					.ifPresent((route) -> tokens.merge(route.backlogKey(job.job().account()), job.openTokens(),
							Long::sum));
			}
		}
		return Optional.of(tokens);
	}

	/**
	 * Returns what this process reports of published results.
	 * @return one entry for each job that this process runs with authority, and for each
	 * that it has published results of lately
	 */
	public List<PublishedResults> publishedResults() {
		this.authority.refresh();
		return this.jobs.values().stream().flatMap((job) -> this.authority.publishedResults(job).stream()).toList();
	}

	/**
	 * Returns whether items wait for a slot.
	 * @return whether some did at the last scheduling
	 */
	public boolean hasWaitingItems() {
		return this.hasWaitingItems;
	}

	/**
	 * Returns the items of client accounts that run and that wait for a slot.
	 * @return the counts by the account's tag, those that wait as of the last scheduling
	 */
	public Map<Integer, AccountCounts> accountCounts() {
		return this.scheduler.accountCounts();
	}

	/**
	 * Advances all jobs as far as possible: loads, publishes, gives up items and starts
	 * those that are ready. A job that fails does not keep the others waiting.
	 */
	public void schedule() {
		if (this.stopped || !this.dependencies.membershipSettled().getAsBoolean()) {
			return;
		}
		List<ItemRun> ready = new ArrayList<>();
		for (OwnedJob job : this.jobs.values()) {
			try {
				process(job, ready);
			}
			catch (RuntimeException ex) {
				LOG.warning("job_not_processed", "job", job.job().id(), "phase", job.phase(), "error", ex);
			}
		}
		this.hasWaitingItems = this.scheduler.place(ready);
	}

	/**
	 * Preempts items on upstreams whose slots online requests need.
	 */
	public void yieldSlots() {
		this.scheduler.yieldSlots(this::openRuns);
	}

	private List<OwnedJob> readyJobs() {
		return this.jobs.values().stream().filter((job) -> job.phase() == OwnedJob.Phase.READY).toList();
	}

	private List<ItemRun> openRuns() {
		return this.jobs.values().stream().flatMap((job) -> job.runs().stream()).toList();
	}

	private void process(OwnedJob job, List<ItemRun> ready) {
		if (job.phase() == OwnedJob.Phase.DONE) {
			return;
		}
		if (job.job().ended() || job.allPublished()) {
			markDone(job);
			LOG.info("job_done", "job", job.job().id(), "ended", job.job().ended(), "listed", job.allPublished());
			return;
		}
		if (!this.dependencies.owners().ownedHere(job.job().id())) {
			if (job.phase() == OwnedJob.Phase.READY) {
				LOG.info("job_left", "job", job.job().id(), "open_items", job.openCount());
				job.stopRuns();
				job.phase(OwnedJob.Phase.NOT_LOADED);
			}
			job.assumeResults();
			if (job.hasUnpublished()) {
				this.publisher.publish(job);
			}
			return;
		}
		if (job.phase() == OwnedJob.Phase.NOT_LOADED) {
			this.loader.load(job);
			return;
		}
		if (job.phase() == OwnedJob.Phase.READY) {
			giveUpItems(job);
			this.publisher.publishIfDue(job);
			long now = this.dependencies.ticker().nanos();
			job.runs().stream().filter((run) -> run.mayStart(now)).forEach(ready::add);
		}
	}

	private List<Long> sharedParts(ItemRun run) {
		return this.dependencies.sharedParts().apply(run.item());
	}

	private void markDone(OwnedJob job) {
		job.phase(OwnedJob.Phase.DONE);
		job.stopRuns();
		this.authority.revoke(job.job().id());
	}

	/**
	 * Gives up items that have exceeded the retention period or the number of attempts,
	 * or whose route is gone. Does nothing while this process has an older configuration
	 * than the one under which the job was accepted: a route that is new to it must not
	 * look like one that is gone.
	 * @param job the job
	 */
	private void giveUpItems(OwnedJob job) {
		Optional<Configuration> configuration = this.dependencies.configuration().current();
		if (configuration.isEmpty() || configuration.get().version() < job.job().configurationVersion()) {
			return;
		}
		Optional<Route> route = configuration.get().route(job.job().host(), job.job().path());
		long age = this.dependencies.wallMillis().get() - job.job().acceptedMillis();
		long due = job.job().acceptedMillis() + route.map(Route::completionTarget).orElse(Duration.ZERO).toMillis();
		job.dueMillis(due);
		for (ItemRun run : job.runs()) {
			run.dueMillis(due);
			boolean givenUp = route.isEmpty() || age > route.get().retention().toMillis()
					|| run.serverErrors() >= route.get().maxAttempts();
			if (givenUp) {
				run.stop();
				LOG.info("item_given_up", "job", job.job().id(), "item", run.item().id(), "route_present",
						route.isPresent(), "age_ms", age, "server_errors", run.serverErrors());
				this.dependencies.metrics().itemEnded(false);
				job.finish(ItemOutcome.givenUp(run.item().id()), this.dependencies.ticker().nanos());
			}
		}
	}

	/**
	 * Handles the results of runs.
	 */
	private final class RunHandler implements ItemRun.RunListener {

		@Override
		public void ended(ItemRun run, Optional<ItemOutcome> outcome) {
			OwnedJob job = JobRunner.this.jobs.get(run.job().id());
			if (outcome.isPresent() && job != null) {
				JobRunner.this.dependencies.metrics().itemEnded(outcome.get().completed());
				if (outcome.get().completed()) {
					long nanos = JobRunner.this.dependencies.ticker().nanos() - run.firstStartedNanos();
					JobRunner.this.order.recordCompletion(nanos / 1_000_000, run.lastEvent());
				}
				job.finish(outcome.get(), JobRunner.this.dependencies.ticker().nanos());
			}
			JobRunner.this.dependencies.timers().schedule(Duration.ZERO, JobRunner.this::schedule);
		}

		@Override
		public void refused(TrackedUpstream upstream) {
			upstream.avoidUntil(nanosAfter(pause(upstream, FULL_COOLDOWN)));
		}

		/**
		 * Avoids an upstream that fails repeatedly. The loss is no evidence against the
		 * parts of the item's prompt: items never crash upstreams, and online requests
		 * with the same part would be refused.
		 */
		@Override
		public void failed(ItemRun run, TrackedUpstream upstream, SendFailure failure) {
			if (failure.countsAgainstUpstream() && upstream.recordFailure() > 1) {
				upstream.avoidUntil(nanosAfter(pause(upstream, FAILURE_COOLDOWN)));
			}
		}

		private Duration pause(TrackedUpstream upstream, Duration lowerBound) {
			return JobRunner.this.dependencies.speeds().times(upstream.descriptor().service()).pause(lowerBound);
		}

		@Override
		public RunObserver observe(TrackedUpstream upstream) {
			return JobRunner.this.dependencies.speeds().observeItem(upstream);
		}

		@Override
		public void succeeded(ItemRun run, TrackedUpstream upstream, ResponseEnd end) {
			PoisonPartDetector poisonParts = JobRunner.this.dependencies.poisonParts();
			if (end == ResponseEnd.CONNECTION_CLOSED) {
				poisonParts.recordClosedResponse(sharedParts(run), upstream.key());
			}
			else {
				poisonParts.recordSuccess(sharedParts(run));
			}
		}

		@Override
		public void received(TrackedUpstream upstream) {
			upstream.recordActivity(nanosAfter(Duration.ZERO));
		}

		@Override
		public long nanosAfter(Duration delay) {
			return JobRunner.this.dependencies.ticker().nanos() + delay.toNanos();
		}

	}

	/**
	 * What a runner uses.
	 *
	 * @param store the jobs
	 * @param progress the saved progress of items
	 * @param owners decides which process owns a job
	 * @param membershipSettled returns whether this process knows which processes run
	 * jobs, and their load at the upstreams
	 * @param slotClaimOrder gives the processes that run jobs, and the order in which
	 * they claim slots
	 * @param configuration the configuration in force
	 * @param upstreams the upstreams that take requests
	 * @param placement chooses an upstream for an item
	 * @param connections the connections to upstreams
	 * @param headers the names of headers
	 * @param ticker the monotonic clock
	 * @param wallMillis the time of day, Unix milliseconds
	 * @param timers runs tasks later, on the event loop
	 * @param random draws random numbers from 0 (inclusive) to 1 (exclusive)
	 * @param loop the event loop
	 * @param metrics the metrics to update
	 * @param maxQueueTime how long an item may wait for its first response in an engine's
	 * queue, unless the engines of the service are slow
	 * @param pauseCount how often this process has been paused so far
	 * @param liveRunners the incarnations of processes that may own jobs and that this
	 * process hears from
	 * @param sendReport sends the peers a report at once, with the current published
	 * results
	 * @param poisonParts detects the parts of prompts that crash upstreams; receives the
	 * complete responses of items, and holds no item back
	 * @param sharedParts gives the parts of an item's prompt that other requests can have
	 * as well
	 * @param speeds the observed speeds of upstreams and the timeouts that follow from
	 * them
	 * @param accounts the requests and items of client accounts over all processes
	 * @param behind returns whether this process is behind with its work and starts no
	 * items
	 * @param slotsForRise gives the free slots of a service that items have to leave to
	 * the next rise of online demand
	 */
	public record Dependencies(JobStore store, ProgressStore progress, JobOwners owners,
			BooleanSupplier membershipSettled, Supplier<SlotClaimOrder> slotClaimOrder,
			ActiveConfiguration configuration, UpstreamRegistry upstreams, Placement placement,
			ConnectionPool connections, HeaderNames headers, Ticker ticker, Supplier<Long> wallMillis, Timers timers,
			DoubleSupplier random, Executor loop, GatewayMetrics metrics, Duration maxQueueTime, IntSupplier pauseCount,
			Supplier<Set<String>> liveRunners, Runnable sendReport, PoisonPartDetector poisonParts,
			Function<JobItem, List<Long>> sharedParts, ObservedSpeeds speeds, AccountLoads accounts,
			BooleanSupplier behind, ToIntFunction<String> slotsForRise) {
	}

}
