package org.ragworthook.core.job;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Runs the jobs of one shard while this entry holds the shard's lease. Chooses the next
 * item; {@link ItemRunner} runs items and {@link JobRecordWriter} writes job records.
 * <p>
 * All state can be recovered from the object store: an owner that takes over lists the
 * open jobs of the shard and claims their chunks one after another.
 */
public final class ShardOwner {

	private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(1);

	private static final long RATE_UPDATE_NANOS = Duration.ofSeconds(1).toNanos();

	private final Builder builder;

	private final int shard;

	private final SerialExecutor serial = new SerialExecutor();

	private final ChunkClaimer claimer;

	private final ItemRunner itemRunner;

	private final JobRecordWriter recordWriter;

	private final StrideScheduler scheduler;

	private final ItemRate itemRate = new ItemRate();

	private final Map<JobId, JobRun> jobs = new HashMap<>();

	private long epoch;

	private boolean active;

	private boolean loading;

	private boolean loaded;

	private long lastRateUpdateNanos;

	private ShardOwner(Builder builder, int shard) {
		this.builder = builder;
		this.shard = shard;
		ConditionalWriter writer = ConditionalWriter.of(builder.store, builder.stamps);
		this.claimer = new ChunkClaimer(builder.store, writer, builder.idempotent);
		this.scheduler = new StrideScheduler(builder.weights);
		this.itemRunner = new ItemRunner(this, builder, new ChunkWriter(builder.store, writer));
		this.recordWriter = new JobRecordWriter(this, builder, writer);
	}

	/**
	 * Returns a builder.
	 * @param store the object store
	 * @param stamps identifies each write
	 * @param sender sends items to sidecars
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, ItemSender sender) {
		return new Builder(store, stamps, sender);
	}

	// -- lease

	/**
	 * Called when the lease was acquired. Continues with the state in memory if the epoch
	 * is the same as before, that is if the lease expired and no other entry acquired it.
	 * @param lease the lease
	 */
	public void leaseAcquired(Lease lease) {
		this.serial.execute(() -> {
			if (lease.epoch() != this.epoch) {
				this.jobs.values().forEach(JobRun::close);
				this.jobs.clear();
			}
			this.epoch = lease.epoch();
			this.active = true;
			this.loaded = false;
			load();
		});
	}

	/**
	 * Called when the lease expired. Stops sending items. Results of running items are
	 * still written; the conditional write rejects them if another owner has claimed the
	 * chunk.
	 */
	public void leaseLost() {
		this.serial.execute(() -> this.active = false);
	}

	/**
	 * Prepares the release of the lease: recalls running items, except those of jobs with
	 * a running non-idempotent item, which are waited for, and writes results. Waits no
	 * longer than the policy's grace period.
	 * @return completes when the lease may be released
	 */
	public CompletableFuture<Void> release() {
		CompletableFuture<Void> released = new CompletableFuture<>();
		this.serial.execute(() -> {
			this.active = false;
			this.jobs.values()
				.stream()
				.filter((job) -> !this.itemRunner.hasRunningNonIdempotent(job))
				.forEach(this.itemRunner::recall);
			this.itemRunner.whenIdle(this::idle, released);
			this.builder.timers.schedule(this.builder.policy.gracePeriod(), () -> released.complete(null));
		});
		return released;
	}

	private boolean idle() {
		this.itemRunner.flushAll(this.jobs.values());
		return this.jobs.values().stream().noneMatch(JobRun::busy);
	}

	/**
	 * Lists the open jobs of the shard again, in case the watch missed a change.
	 */
	public void relist() {
		this.serial.execute(this::load);
	}

	private void load() {
		if (this.loading || !this.active) {
			return;
		}
		this.loading = true;
		Labels open = Labels.of(JobRecord.SHARD, Integer.toString(this.shard)).with(JobRecord.STATE, JobRecord.OPEN);
		this.builder.store.list(Kind.JOB, open).whenCompleteAsync((listing, failure) -> {
			this.loading = false;
			if (!this.active) {
				return;
			}
			if (failure != null) {
				schedule(STORE_RETRY_DELAY, this::load);
				return;
			}
			this.loaded = true;
			listing.objects().forEach(this::apply);
			requestDispatch();
		}, this.serial);
	}

	/**
	 * Called when the watch reports a changed job record.
	 * @param stored the record
	 */
	public void jobChanged(Stored stored) {
		this.serial.execute(() -> {
			apply(stored);
			requestDispatch();
		});
	}

	private void apply(Stored stored) {
		JobRecord record = JobRecord.parse(stored.text());
		JobRun job = this.jobs.get(record.id());
		if (record.shard() != this.shard || !this.active) {
			return;
		}
		if (job == null) {
			if (!record.status().ended()) {
				job = new JobRun(stored, record);
				this.jobs.put(job.id(), job);
				this.scheduler.retain(accounts());
			}
		}
		else if (stored.version() > job.stored().version() && !job.writing()) {
			job.update(stored, record);
		}
		if (job != null) {
			this.recordWriter.check(job);
		}
	}

	private List<String> accounts() {
		return this.jobs.values().stream().map((job) -> job.record().account()).toList();
	}

	// -- scheduling

	/**
	 * Sends ready items while sidecars have free slots.
	 * @param max the most items to send
	 * @return the number of items sent
	 */
	public CompletableFuture<Integer> dispatch(int max) {
		CompletableFuture<Integer> sent = new CompletableFuture<>();
		this.serial.execute(() -> sent.complete(dispatchNow(max)));
		return sent;
	}

	void requestDispatch() {
		if (this.builder.dispatchTrigger.isPresent()) {
			this.builder.dispatchTrigger.get().run();
		}
		else {
			dispatchNow(Integer.MAX_VALUE);
		}
	}

	private int dispatchNow(int max) {
		if (!leaseHeld()) {
			return 0;
		}
		updateExpectedEnds();
		int sent = 0;
		while (sent < max) {
			Optional<JobRun> job = nextJob((candidate) -> candidate.hasReady(this::freeSlots));
			if (job.isEmpty()) {
				break;
			}
			this.itemRunner.startNext(job.get(), this::freeSlots);
			this.scheduler.sent(job.get().record().account(), job.get().urgency());
			sent++;
		}
		openChunks();
		return sent;
	}

	// The lease is checked before each round, since the thread may have been paused
	// since the last check.
	private boolean leaseHeld() {
		return this.active
				&& this.builder.leases.apply(this.shard).filter((lease) -> lease.epoch() == this.epoch).isPresent();
	}

	private int freeSlots(String route) {
		return this.builder.sender.freeSlots(route) - this.itemRunner.startingCount(this.jobs.values(), route);
	}

	private Optional<JobRun> nextJob(Predicate<JobRun> candidates) {
		return this.jobs.values()
			.stream()
			.filter((job) -> !job.cancelling() && !job.closed())
			.filter(candidates)
			.min(Comparator.comparingDouble((JobRun job) -> this.scheduler.pass(job.record().account()))
				.thenComparingLong((job) -> job.record().dueMillis())
				.thenComparing((job) -> job.record().hex()));
	}

	private void updateExpectedEnds() {
		long nanos = this.builder.ticker.nanos();
		double perSecond = this.itemRate.perSecond(nanos);
		if (perSecond <= 0 || nanos - this.lastRateUpdateNanos < RATE_UPDATE_NANOS) {
			return;
		}
		this.lastRateUpdateNanos = nanos;
		long now = this.builder.clock.millis();
		List<JobRun> byDue = new ArrayList<>(this.jobs.values());
		byDue.sort(Comparator.comparingLong((job) -> job.record().dueMillis()));
		long itemsBefore = 0;
		for (JobRun job : byDue) {
			itemsBefore += job.remaining();
			job.expectEnd(now, now + Math.round(itemsBefore * 1000 / perSecond));
		}
	}

	private void openChunks() {
		int open = this.jobs.values().stream().mapToInt(JobRun::openCount).sum();
		while (open < this.builder.policy.maxOpenChunks()) {
			Optional<JobRun> job = nextJob(this::canOpenChunk);
			if (job.isEmpty()) {
				return;
			}
			open(job.get(), job.get().nextChunk().getAsInt());
			open++;
		}
	}

	private boolean canOpenChunk(JobRun job) {
		OptionalInt next = job.nextChunk();
		if (next.isEmpty() || job.openCount() >= this.builder.policy.maxOpenChunksPerJob()
				|| job.readyCount() >= this.builder.policy.readyItemsPerJob()
				|| !job.served(this.builder.sender::serves)) {
			return false;
		}
		boolean reserved = next.getAsInt() < job.record().reserved();
		if (!reserved) {
			this.recordWriter.progress(job);
		}
		return reserved;
	}

	void open(JobRun job, int number) {
		job.opening(number);
		this.claimer.claim(job.record(), number, this.epoch).whenCompleteAsync((claimed, failure) -> {
			if (job.closed()) {
				return;
			}
			if (failure == null) {
				opened(job, number, claimed);
				return;
			}
			if (StoreRetry.conflict(failure)) {
				dropJob(job);
				return;
			}
			schedule(STORE_RETRY_DELAY, () -> {
				job.openFailed(number);
				this.recordWriter.check(job);
				requestDispatch();
			});
		}, this.serial);
	}

	private void opened(JobRun job, int number, ChunkClaimer.Claimed claimed) {
		job.opened(number);
		if (claimed.finalCounts().isPresent()) {
			job.chunkDone(number, claimed.finalCounts().get());
		}
		else {
			job.add(new ChunkRun(job, number, claimed));
		}
		this.recordWriter.check(job);
		requestDispatch();
	}

	// -- callbacks of the collaborators

	long epoch() {
		return this.epoch;
	}

	int shard() {
		return this.shard;
	}

	SerialExecutor serial() {
		return this.serial;
	}

	boolean mayStart(JobRun job) {
		return leaseHeld() && !job.cancelling() && !job.closed();
	}

	void schedule(Duration delay, Runnable task) {
		this.builder.timers.schedule(delay, () -> this.serial.execute(task));
	}

	void itemEnded() {
		this.itemRate.itemEnded(this.builder.ticker.nanos());
	}

	void cancelItems(JobRun job) {
		this.itemRunner.cancel(job);
	}

	void cancelUnfinished(ChunkRun chunk) {
		this.itemRunner.cancelUnfinished(chunk);
	}

	void chunkComplete(ChunkRun chunk) {
		chunk.close();
		chunk.job().chunkDone(chunk.number(), chunk.written().counts());
		this.recordWriter.check(chunk.job());
	}

	// Another owner has written: this one has lost the lease without knowing yet, or the
	// job has ended. The jobs are listed again while the lease is held.
	void dropJob(JobRun job) {
		job.close();
		this.jobs.remove(job.id(), job);
		this.scheduler.retain(accounts());
		schedule(STORE_RETRY_DELAY, this::load);
	}

	void jobEnded(JobRun job) {
		job.close();
		this.jobs.remove(job.id(), job);
		this.scheduler.retain(accounts());
	}

	/**
	 * Returns the progress of the jobs of this shard.
	 * @return a snapshot
	 */
	public CompletableFuture<List<JobProgress>> progress() {
		CompletableFuture<List<JobProgress>> progress = new CompletableFuture<>();
		this.serial.execute(() -> progress.complete(this.jobs.values()
			.stream()
			.map((job) -> new JobProgress(job.id(), job.record().account(), job.record().items(), job.counts(),
					job.record().dueMillis(), job.expectedMillis()))
			.toList()));
		return progress;
	}

	/**
	 * Builds shard owners that differ only in their shard.
	 */
	public static final class Builder {

		final ObjectStore store;

		final Stamps stamps;

		final ItemSender sender;

		Ticker ticker = Ticker.system();

		Timers timers;

		InstantSource clock = InstantSource.system();

		BatchPolicy policy = BatchPolicy.standard();

		ToIntFunction<String> weights = (account) -> 1;

		Function<Integer, Optional<Lease>> leases;

		Optional<Runnable> dispatchTrigger = Optional.empty();

		Predicate<BatchItem> idempotent = (item) -> true;

		private Builder(ObjectStore store, Stamps stamps, ItemSender sender) {
			this.store = Objects.requireNonNull(store, "store is null");
			this.stamps = Objects.requireNonNull(stamps, "stamps is null");
			this.sender = Objects.requireNonNull(sender, "sender is null");
		}

		/**
		 * Sets the clocks and the timers.
		 * @param ticker the monotonic clock
		 * @param timers runs delayed tasks
		 * @param clock the time of day
		 * @return this builder
		 */
		public Builder time(Ticker ticker, Timers timers, InstantSource clock) {
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
			this.timers = Objects.requireNonNull(timers, "timers is null");
			this.clock = Objects.requireNonNull(clock, "clock is null");
			return this;
		}

		/**
		 * Sets the retry, checkpoint and memory limits.
		 * @param policy the policy
		 * @return this builder
		 */
		public Builder policy(BatchPolicy policy) {
			this.policy = Objects.requireNonNull(policy, "policy is null");
			return this;
		}

		/**
		 * Sets the weights of accounts.
		 * @param weights returns the weight of an account, at least 1; 1 for each account
		 * if not set
		 * @return this builder
		 */
		public Builder weights(ToIntFunction<String> weights) {
			this.weights = Objects.requireNonNull(weights, "weights is null");
			return this;
		}

		/**
		 * Sets the source of the leases that this entry holds.
		 * @param leases returns the lease of a shard, or empty if it is not held or may
		 * have expired
		 * @return this builder
		 */
		public Builder leases(Function<Integer, Optional<Lease>> leases) {
			this.leases = Objects.requireNonNull(leases, "leases is null");
			return this;
		}

		/**
		 * Sets which items are idempotent. An item whose line declares it as not
		 * idempotent is never so.
		 * @param idempotent returns whether the service of an item may be called more
		 * than once; true for each item if not set
		 * @return this builder
		 */
		public Builder idempotent(Predicate<BatchItem> idempotent) {
			this.idempotent = Objects.requireNonNull(idempotent, "idempotent is null");
			return this;
		}

		/**
		 * Sets a callback that is called when items may be sent, so that free slots are
		 * shared among the owners of several shards. Without it each owner sends as many
		 * items as there are free slots.
		 * @param dispatchTrigger schedules a call of {@link ShardOwner#dispatch}
		 * @return this builder
		 */
		public Builder dispatchTrigger(Runnable dispatchTrigger) {
			this.dispatchTrigger = Optional.of(dispatchTrigger);
			return this;
		}

		/**
		 * Builds a shard owner.
		 * @param shard the number of the shard
		 * @return an owner without a lease
		 */
		public ShardOwner build(int shard) {
			Objects.requireNonNull(this.timers, "timers is null");
			Objects.requireNonNull(this.leases, "leases is null");
			return new ShardOwner(this, shard);
		}

	}

}
