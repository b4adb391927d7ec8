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
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * Runs the items of the jobs that this process owns, in the room that online requests
 * leave, and lists their results. Runs on the event loop.
 */
public final class JobRunner {

	private static final EventLog LOG = EventLog.of(JobRunner.class);

	/** How often all jobs are looked through, for what no event brings about. */
	private static final Duration ROUND = Duration.ofMillis(100);

	/** How long an upstream that broke off twice in a row is avoided. */
	private static final Duration AVOID = Duration.ofMillis(1_500);

	/** How long an upstream that said it was full is avoided: half a usual request. */
	private static final Duration AVOID_FULL = Duration.ofMillis(300);

	private final Dependencies parts;

	private final Map<String, OwnedJob> jobs = new LinkedHashMap<>();

	private final ItemOrder order = new ItemOrder();

	private final ItemPlacing placing;

	private final ProgressKeeper progress;

	private final JobLoading loading;

	private final ResultLister lister;

	private final ListingClaims claims;

	private boolean stopped;

	private volatile boolean wanting;

	private boolean listed;

	private JobRunner(Dependencies parts) {
		this.parts = parts;
		this.placing = new ItemPlacing(parts, this.order, new Runs());
		this.progress = new ProgressKeeper(parts.progress(), parts.ticker(), parts.loop());
		this.claims = new ListingClaims(parts.ticker(), parts.pauses(), parts.processes());
		this.loading = new JobLoading(parts, this.progress, this.claims, this::pump);
		this.lister = new ResultLister(parts, this.claims, this::pump);
	}

	/**
	 * Returns a runner that knows no job.
	 * @param parts what it uses
	 * @return the runner
	 */
	public static JobRunner of(Dependencies parts) {
		return new JobRunner(Objects.requireNonNull(parts, "parts is null"));
	}

	/**
	 * Begins to run items.
	 */
	public void start() {
		round();
	}

	private void round() {
		if (!this.stopped) {
			this.placing.leaveQueues(openRuns());
			pump();
			this.progress.round(readyJobs(), this.parts.owners().runnerCount());
			this.parts.timers().schedule(ROUND, this::round);
		}
	}

	/**
	 * Takes a job that the store has.
	 * @param job the job
	 * @param justWritten whether this comes from the news of changes; if the job was not
	 * known before, it has been accepted a moment ago
	 */
	public void put(Job job, boolean justWritten) {
		OwnedJob known = this.jobs.get(job.id());
		if (known == null) {
			boolean unread = justWritten && this.parts.settled().getAsBoolean()
					&& this.parts.owners().ownedHere(job.id());
			this.jobs.put(job.id(), new OwnedJob(job, !unread));
			LOG.info("job_known", "job", job.id(), "items", job.itemCount(), "ended", job.ended());
		}
		else if (job.ended() && !known.job().ended()) {
			known.job(job);
			done(known);
			LOG.info("job_ended", "job", job.id(), "open_items", known.openCount());
		}
		pump();
	}

	/**
	 * Stops all runs; what is finished is still listed, and how far the others are is
	 * saved.
	 * @return completes when another process may go on with the items
	 */
	public CompletableFuture<Void> stop() {
		this.stopped = true;
		CompletableFuture<Void> saved = this.progress.save(readyJobs());
		this.jobs.values().forEach((job) -> {
			job.stopRuns();
			if (job.hasFinished()) {
				this.lister.flush(job);
			}
		});
		return saved;
	}

	/**
	 * Tells whether results wait to be listed.
	 * @return whether any do
	 */
	public boolean hasUnpublishedResults() {
		return this.jobs.values().stream().anyMatch((job) -> job.hasFinished() || job.writing());
	}

	/**
	 * Learns that all jobs that the store has were put.
	 */
	public void initialListingComplete() {
		this.listed = true;
	}

	/**
	 * Returns the tokens of the items of this process's jobs that no upstream has
	 * finished. Of a job that is not read yet all items count.
	 * @return tokens by the key of route and account, or empty while it is not known
	 * which jobs this process has
	 */
	public Optional<Map<Integer, Long>> backlog() {
		Optional<Configuration> configuration = this.parts.configuration().current();
		if (!this.listed || configuration.isEmpty() || !this.parts.settled().getAsBoolean()) {
			return Optional.empty();
		}
		Map<Integer, Long> tokens = new HashMap<>();
		for (OwnedJob job : this.jobs.values()) {
			if (job.phase() != OwnedJob.Phase.DONE && this.parts.owners().ownedHere(job.job().id())) {
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
	 * Returns what entries are to know of the results that are listed.
	 * @return the listings of the jobs that this process runs, and of those that it has
	 * listed results of lately
	 */
	public List<PublishedResults> publishedResults() {
		this.claims.look();
		return this.jobs.values().stream().flatMap((job) -> this.claims.listing(job).stream()).toList();
	}

	/**
	 * Tells whether items wait for a slot.
	 * @return whether some did when it was last looked
	 */
	public boolean hasWaitingItems() {
		return this.wanting;
	}

	/**
	 * Does what can be done now.
	 */
	public void pump() {
		if (this.stopped || !this.parts.settled().getAsBoolean()) {
			return;
		}
		List<ItemRun> ready = new ArrayList<>();
		for (OwnedJob job : this.jobs.values()) {
			look(job, ready);
		}
		this.wanting = this.placing.place(ready);
	}

	/**
	 * Gives slots that online requests need back to them.
	 */
	public void yieldSlots() {
		this.placing.giveWay(this::openRuns);
	}

	private List<OwnedJob> readyJobs() {
		return this.jobs.values().stream().filter((job) -> job.phase() == OwnedJob.Phase.READY).toList();
	}

	private List<ItemRun> openRuns() {
		return this.jobs.values().stream().flatMap((job) -> job.runs().stream()).toList();
	}

	private void look(OwnedJob job, List<ItemRun> ready) {
		if (job.phase() == OwnedJob.Phase.DONE) {
			return;
		}
		if (job.job().ended() || job.complete()) {
			done(job);
			LOG.info("job_done", "job", job.job().id(), "ended", job.job().ended(), "listed", job.complete());
			return;
		}
		if (!this.parts.owners().ownedHere(job.job().id())) {
			if (job.phase() == OwnedJob.Phase.READY) {
				LOG.info("job_left", "job", job.job().id(), "open_items", job.openCount());
				job.stopRuns();
				job.phase(OwnedJob.Phase.KNOWN);
			}
			job.resultsKnown();
			if (job.hasFinished()) {
				this.lister.flush(job);
			}
			return;
		}
		if (job.phase() == OwnedJob.Phase.KNOWN) {
			this.loading.load(job);
			return;
		}
		if (job.phase() == OwnedJob.Phase.READY) {
			giveUp(job);
			this.lister.list(job);
			long now = this.parts.ticker().nanos();
			job.runs().stream().filter((run) -> run.mayStart(now)).forEach(ready::add);
		}
	}

	private void done(OwnedJob job) {
		job.phase(OwnedJob.Phase.DONE);
		job.stopRuns();
		this.claims.forget(job.job().id());
	}

	/**
	 * Gives up items that have used up their time or their attempts, or whose route is
	 * gone. A process that has not seen the configuration by which the job was accepted
	 * does not know the route yet, which must not look as if it were gone.
	 * @param job the job
	 */
	private void giveUp(OwnedJob job) {
		Optional<Configuration> configuration = this.parts.configuration().current();
		if (configuration.isEmpty() || configuration.get().version() < job.job().configurationVersion()) {
			return;
		}
		Optional<Route> route = configuration.get().route(job.job().host(), job.job().path());
		long age = this.parts.wallMillis().get() - job.job().acceptedMillis();
		long due = job.job().acceptedMillis() + route.map(Route::completionTarget).orElse(Duration.ZERO).toMillis();
		job.dueMillis(due);
		for (ItemRun run : job.runs()) {
			run.dueMillis(due);
			boolean over = route.isEmpty() || age > route.get().retention().toMillis()
					|| run.serverErrors() >= route.get().maxAttempts();
			if (over) {
				run.stop();
				LOG.info("item_given_up", "job", job.job().id(), "item", run.item().id(), "route_present",
						route.isPresent(), "age_ms", age, "server_errors", run.serverErrors());
				this.parts.metrics().itemEnded(false);
				job.finish(ItemOutcome.givenUp(run.item().id()), this.parts.ticker().nanos());
			}
		}
	}

	/**
	 * Acts on what becomes of runs.
	 */
	private final class Runs implements ItemRun.ItemListener {

		@Override
		public void ended(ItemRun run, Optional<ItemOutcome> outcome) {
			OwnedJob job = JobRunner.this.jobs.get(run.job().id());
			if (outcome.isPresent() && job != null) {
				JobRunner.this.parts.metrics().itemEnded(outcome.get().completed());
				if (outcome.get().completed()) {
					long nanos = JobRunner.this.parts.ticker().nanos() - run.firstStartedNanos();
					JobRunner.this.order.finished(nanos / 1_000_000, run.lastEvent());
				}
				job.finish(outcome.get(), JobRunner.this.parts.ticker().nanos());
			}
			JobRunner.this.parts.timers().schedule(Duration.ZERO, JobRunner.this::pump);
		}

		@Override
		public void refused(TrackedUpstream upstream) {
			upstream.avoidUntil(nanosAfter(AVOID_FULL));
		}

		@Override
		public void failed(TrackedUpstream upstream) {
			if (upstream.recordFailure() > 1) {
				upstream.avoidUntil(nanosAfter(AVOID));
			}
		}

		@Override
		public long nanosAfter(Duration pause) {
			return JobRunner.this.parts.ticker().nanos() + pause.toNanos();
		}

	}

	/**
	 * What a runner uses.
	 *
	 * @param store the jobs
	 * @param progress how far their items are
	 * @param owners tells whose jobs they are
	 * @param settled tells whether it is known which processes run jobs, and what they
	 * have at upstreams
	 * @param turns the processes that run jobs and their order at upstreams
	 * @param configuration what the operator configured
	 * @param upstreams the upstreams that take requests
	 * @param placement chooses one of them
	 * @param connections leads to them
	 * @param headers the names of headers
	 * @param ticker the time
	 * @param wallMillis the time of day, Unix milliseconds
	 * @param timers runs tasks later, on the event loop
	 * @param draw draws numbers from 0 to below 1
	 * @param loop the event loop
	 * @param metrics counts what happens
	 * @param queuePatience how long an item may be without an answer at an engine
	 * @param pauses how often this process was paused so far
	 * @param processes the runs of processes that may own jobs, as far as this one hears
	 * @param tellListings tells the peers what has changed of the listings
	 */
	public record Dependencies(JobStore store, ProgressStore progress, JobOwners owners, BooleanSupplier settled,
			Supplier<SlotClaimOrder> turns, ActiveConfiguration configuration, UpstreamRegistry upstreams,
			Placement placement, ConnectionPool connections, HeaderNames headers, Ticker ticker,
			Supplier<Long> wallMillis, Timers timers, DoubleSupplier draw, Executor loop, GatewayMetrics metrics,
			Duration queuePatience, IntSupplier pauses, Supplier<Set<String>> processes, Runnable tellListings) {
	}

}
