package org.ragworthook.daemon.batch;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Retention;
import org.ragworthook.core.job.BatchItem;
import org.ragworthook.core.job.FileIntake;
import org.ragworthook.core.job.JobCanceller;
import org.ragworthook.core.job.JobGarbageCollector;
import org.ragworthook.core.job.JobIntake;
import org.ragworthook.core.job.JobProgress;
import org.ragworthook.core.job.JobResults;
import org.ragworthook.core.job.JobRunner;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.lease.ShardListener;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.VertxTimers;
import org.ragworthook.daemon.entry.RequestReader;
import org.ragworthook.daemon.entry.UpstreamDirectory;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.settings.DaemonSettings;

/**
 * The batch work of an entry.
 */
public final class BatchPart implements AutoCloseable, ShardListener {

	private static final EventLog LOG = EventLog.of(BatchPart.class);

	private static final Duration UPLOAD_LIMIT = Duration.ofHours(6);

	private static final long ROOM_MILLIS = 100;

	private static final long COLLECT_MILLIS = Duration.ofHours(1).toMillis();

	private static final long PROGRESS_MILLIS = 10_000;

	private final Closer closer = Closer.empty();

	private final Supplier<Optional<Contract>> contract;

	private final LinkItemSender sender;

	private final JobRunner runner;

	private final BatchRoutes routes;

	private final ObjectStore store;

	private final Stamps stamps;

	private volatile Weights weights = new Weights(Optional.empty(), Map.of());

	private volatile List<JobProgress> progress = List.of();

	private BatchPart(Vertx vertx, DaemonSettings settings, String instance, ObjectStore platform,
			UpstreamDirectory directory, RequestReader reader, Supplier<Optional<Contract>> contract,
			ErrorResponses errors) {
		this.contract = Objects.requireNonNull(contract, "contract is null");
		BatchThread thread = this.closer.add(new BatchThread());
		this.store = thread.store(platform);
		this.stamps = Stamps.of(instance);
		Timers timers = thread.timers(VertxTimers.of(vertx));
		InstantSource clock = InstantSource.system();
		this.sender = new LinkItemSender(directory, contract, thread, clock, Ticker.system());
		int shards = settings.limits().shards();
		FileIntake files = FileIntake.builder(this.store, this.stamps, timers, clock)
			.shards(shards)
			.retention(retention().results().plus(UPLOAD_LIMIT))
			.itemValidator(this::fault)
			.build();
		JobIntake jobs = JobIntake.of(files, this.stamps, timers, clock, shards);
		JobCanceller cancels = JobCanceller.of(this.store, this.stamps, clock);
		this.runner = JobRunner.builder(this.store, this.stamps, this.sender)
			.time(Ticker.system(), timers, clock)
			.shards(shards)
			.period(Duration.ofMillis(settings.limits().leaseMillis()))
			.entries(directory::entryAddresses)
			.self(settings.link().toString())
			.weights((account) -> currentWeights().of(account))
			.idempotent(this.sender::repeatable)
			.shardListener(this)
			.build();
		JobResults results = JobResults.of(this.store);
		this.routes = new BatchRoutes(reader, errors,
				new FileRoutes(thread, files, results, this::collector, settings.limits().fileBytes()),
				new JobRoutes(jobs, cancels, results, this.sender));
		start(vertx);
	}

	/**
	 * Starts the batch work of an entry.
	 * @param vertx carries timers
	 * @param settings the entry's settings
	 * @param instance the entry's identity, unique to its run
	 * @param store the platform's objects
	 * @param directory the sidecars
	 * @param reader tells accounts
	 * @param contract the text in force
	 * @param errors answers with errors
	 * @return the part
	 */
	public static BatchPart start(Vertx vertx, DaemonSettings settings, String instance, ObjectStore store,
			UpstreamDirectory directory, RequestReader reader, Supplier<Optional<Contract>> contract,
			ErrorResponses errors) {
		return new BatchPart(vertx, settings, instance, store, directory, reader, contract, errors);
	}

	private void start(Vertx vertx) {
		every(vertx, ROOM_MILLIS, this.runner::capacityChanged);
		every(vertx, COLLECT_MILLIS, this::collect);
		every(vertx, PROGRESS_MILLIS, this::refreshProgress);
		this.runner.start();
	}

	private void every(Vertx vertx, long millis, Runnable task) {
		long timer = vertx.setPeriodic(millis, (ignored) -> task.run());
		this.closer.add(() -> vertx.cancelTimer(timer));
	}

	/**
	 * Adds the routes of files and jobs.
	 * @param router where to add them
	 */
	public void mount(Router router) {
		this.routes.mount(router);
	}

	/**
	 * Hands the entry's shards over, as a planned stop begins with.
	 * @return completes when the leases are released
	 */
	public CompletableFuture<Void> leave() {
		return this.runner.releaseShards();
	}

	/**
	 * Looks for shards that a peer has released, when it says that it leaves.
	 */
	public void peerLeaves() {
		this.runner.acquireFreeShards();
	}

	/**
	 * Returns the shards that this entry is in charge of.
	 * @return their numbers
	 */
	public List<Integer> shards() {
		return this.runner.shards();
	}

	/**
	 * Returns how far the jobs of this entry's shards have come, some seconds ago.
	 * @return the jobs, also those that are expected to be late
	 */
	public List<JobProgress> progress() {
		return this.progress;
	}

	/**
	 * Returns how many items of this entry are at sidecars.
	 * @return the count
	 */
	public int itemsInFlight() {
		return this.sender.inFlight();
	}

	private void refreshProgress() {
		this.sender.sweep();
		this.runner.progress().thenAccept((jobs) -> {
			this.progress = List.copyOf(jobs);
			jobs.stream()
				.filter(JobProgress::late)
				.forEach((job) -> LOG.warning("job_late", "job", job.id().id(), "account", job.account(), "due",
						job.dueMillis(), "expected", job.expectedMillis()));
		});
	}

	// -- the text in force

	private String fault(BatchItem item) {
		Optional<Contract> text = this.contract.get();
		boolean known = text.isPresent() && this.sender.service(item.route()).flatMap(text.get()::service).isPresent();
		return known ? "" : "goes to '" + item.route() + "', which no service answers";
	}

	private Retention retention() {
		return this.contract.get().map(Contract::retention).orElse(Retention.standard());
	}

	private Weights currentWeights() {
		Optional<Contract> text = this.contract.get();
		if (!text.equals(this.weights.text())) {
			Map<String, Integer> byAccount = new HashMap<>();
			text.ifPresent((now) -> now.accounts()
				.forEach((Account account) -> byAccount.put(account.name(), account.weight())));
			this.weights = new Weights(text, byAccount);
		}
		return this.weights;
	}

	// -- collection

	private JobGarbageCollector collector() {
		return JobGarbageCollector.of(this.store, this.stamps, InstantSource.system(), retention().results(),
				UPLOAD_LIMIT);
	}

	private void collect() {
		CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
		for (int shard : this.runner.shards()) {
			done = done.thenCompose((before) -> collector().sweep(shard));
		}
		done.whenComplete((swept, failure) -> {
			if (failure != null) {
				LOG.debug("collection_put_off", "error", failure);
			}
		});
	}

	// -- shards

	@Override
	public void acquired(int shard, Lease lease) {
		this.sender.fence(shard, lease);
		LOG.info("lease_taken", "shard", shard, "epoch", lease.epoch());
	}

	@Override
	public void lost(int shard, Lease lease) {
		LOG.info("lease_lost", "shard", shard, "epoch", lease.epoch());
	}

	@Override
	public CompletableFuture<Void> releasing(int shard, Lease lease) {
		LOG.info("lease_released", "shard", shard, "epoch", lease.epoch());
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/**
	 * The weights of the accounts in a text.
	 *
	 * @param text the text
	 * @param byAccount the weights by name
	 */
	private record Weights(Optional<Contract> text, Map<String, Integer> byAccount) {

		int of(String account) {
			return this.byAccount.getOrDefault(account, 1);
		}

	}

}
