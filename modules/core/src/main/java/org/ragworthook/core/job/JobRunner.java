package org.ragworthook.core.job;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.lease.ShardLeases;
import org.ragworthook.core.lease.ShardListener;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Runs batch jobs at one entry. Holds the entry's share of the shard leases and one owner
 * for each shard, watches for new and cancelled jobs, and lets the owners take turns at
 * the sidecars' free slots.
 */
public final class JobRunner implements ShardListener {

	private static final Duration WATCH_RETRY_DELAY = Duration.ofSeconds(1);

	private static final int ITEMS_PER_TURN = 8;

	private final Builder builder;

	private final ShardLeases shards;

	private final ShardOwner.Builder ownerBuilder;

	private final Map<Integer, ShardOwner> owners = new ConcurrentSkipListMap<>();

	private final SerialExecutor serial = new SerialExecutor();

	private final AtomicBoolean dispatching = new AtomicBoolean();

	private final AtomicBoolean dispatchAgain = new AtomicBoolean();

	private volatile boolean closed;

	private volatile ObjectStore.Watch watch = () -> {
	};

	private int turn;

	private JobRunner(Builder builder) {
		this.builder = builder;
		this.shards = ShardLeases.builder(builder.store, builder.stamps)
			.time(builder.ticker, builder.timers)
			.listener(this)
			.entries(builder.entries)
			.shards("batch", builder.shardCount)
			.period(builder.period)
			.self(builder.self.orElse(builder.stamps.writer()))
			.build();
		this.ownerBuilder = ShardOwner.builder(builder.store, builder.stamps, builder.sender)
			.time(builder.ticker, builder.timers, builder.clock)
			.policy(builder.policy)
			.weights(builder.weights)
			.idempotent(builder.idempotent)
			.leases(this.shards::held)
			.dispatchTrigger(this::capacityChanged);
	}

	/**
	 * Returns a builder.
	 * @param store the object store
	 * @param stamps identifies each write; the name of its writer identifies this entry
	 * @param sender sends items to sidecars
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, ItemSender sender) {
		return new Builder(store, stamps, sender);
	}

	/**
	 * Starts to acquire shards and to run their jobs.
	 */
	public void start() {
		watch();
		this.shards.start();
		relistLoop();
	}

	/**
	 * Releases all shards: recalls running items, writes results and releases the leases.
	 * @return completes when all leases are released
	 */
	public CompletableFuture<Void> releaseShards() {
		this.closed = true;
		return this.shards.releaseAll().whenComplete((done, failure) -> this.watch.close());
	}

	/**
	 * Acquires shards that were released, called for instance when a peer announces that
	 * it leaves.
	 */
	public void acquireFreeShards() {
		this.shards.acquireFree();
	}

	/**
	 * Returns the shards whose lease this entry holds.
	 * @return the numbers of the shards
	 */
	public List<Integer> shards() {
		return this.shards.held();
	}

	/**
	 * Returns the progress of the jobs in this entry's shards.
	 * @return a snapshot
	 */
	public CompletableFuture<List<JobProgress>> progress() {
		CompletableFuture<List<JobProgress>> all = CompletableFuture.completedFuture(new ArrayList<>());
		for (ShardOwner owner : this.owners.values()) {
			all = all.thenCombine(owner.progress(), (before, further) -> {
				before.addAll(further);
				return before;
			});
		}
		return all;
	}

	// -- dispatch

	/**
	 * Called when sidecars may have free slots. Lets the owners send a few items each in
	 * turn: without turns, the owner whose item has just ended would take the slot again
	 * each time, and the jobs of other shards would not start until its own jobs have
	 * ended.
	 */
	public void capacityChanged() {
		this.dispatchAgain.set(true);
		if (this.dispatching.compareAndSet(false, true)) {
			this.serial.execute(() -> dispatch(0));
		}
	}

	private void dispatch(int idle) {
		List<ShardOwner> all = List.copyOf(this.owners.values());
		if (idle == 0) {
			this.dispatchAgain.set(false);
		}
		if (idle >= all.size()) {
			this.dispatching.set(false);
			if (this.dispatchAgain.get()) {
				capacityChanged();
			}
			return;
		}
		ShardOwner owner = all.get(this.turn++ % all.size());
		owner.dispatch(ITEMS_PER_TURN)
			.whenCompleteAsync((sent, failure) -> dispatch((failure == null && sent > 0) ? 0 : idle + 1), this.serial);
	}

	// -- shards

	@Override
	public void acquired(int shard, Lease lease) {
		this.builder.shardListener.acquired(shard, lease);
		this.owners.computeIfAbsent(shard, this.ownerBuilder::build).leaseAcquired(lease);
	}

	@Override
	public void lost(int shard, Lease lease) {
		this.builder.shardListener.lost(shard, lease);
		ShardOwner owner = this.owners.get(shard);
		if (owner != null) {
			owner.leaseLost();
		}
	}

	@Override
	public CompletableFuture<Void> releasing(int shard, Lease lease) {
		ShardOwner owner = this.owners.get(shard);
		CompletableFuture<Void> released = (owner != null) ? owner.release() : CompletableFuture.completedFuture(null);
		return released.thenCompose((done) -> this.builder.shardListener.releasing(shard, lease))
			.whenComplete((done, failure) -> this.owners.remove(shard, owner));
	}

	// -- watch

	// A watch needs a version to start from. The listing that returns the version
	// selects no job; the owners list their jobs after the watch is established, so that
	// none is missed.
	private void watch() {
		Labels nothing = Labels.of(JobRecord.SHARD, "none");
		this.builder.store.list(Kind.JOB, nothing).whenComplete((listing, failure) -> {
			if (this.closed) {
				return;
			}
			if (failure != null) {
				scheduleWatch();
				return;
			}
			this.watch = this.builder.store.watch(Kind.JOB, Labels.of(JobRecord.STATE, JobRecord.OPEN),
					listing.version(), this::changed, this::scheduleWatch);
			this.owners.values().forEach(ShardOwner::relist);
		});
	}

	private void scheduleWatch() {
		this.builder.timers.schedule(WATCH_RETRY_DELAY, () -> {
			if (!this.closed) {
				watch();
			}
		});
	}

	private void changed(WatchEvent event) {
		Stored job = event.object();
		String shard = job.draft().labels().values().getOrDefault(JobRecord.SHARD, "");
		this.owners.forEach((number, owner) -> {
			if (!event.gone() && shard.equals(Integer.toString(number))) {
				owner.jobChanged(job);
			}
		});
	}

	// A watch can fail silently, and jobs that were accepted would then not start. The
	// owners therefore also list their jobs periodically.
	private void relistLoop() {
		this.builder.timers.schedule(this.builder.relistEvery, () -> {
			if (!this.closed) {
				this.owners.values().forEach(ShardOwner::relist);
				relistLoop();
			}
		});
	}

	/**
	 * Builds a job runner.
	 */
	public static final class Builder {

		private static final ShardListener NO_LISTENER = new ShardListener() {

			@Override
			public void acquired(int shard, Lease lease) {
			}

			@Override
			public void lost(int shard, Lease lease) {
			}

			@Override
			public CompletableFuture<Void> releasing(int shard, Lease lease) {
				return CompletableFuture.completedFuture(null);
			}

		};

		private final ObjectStore store;

		private final Stamps stamps;

		private final ItemSender sender;

		private Ticker ticker = Ticker.system();

		private Timers timers;

		private InstantSource clock = InstantSource.system();

		private BatchPolicy policy = BatchPolicy.standard();

		private ToIntFunction<String> weights = (account) -> 1;

		private Supplier<Set<String>> entries = Set::of;

		private ShardListener shardListener = NO_LISTENER;

		private Predicate<BatchItem> idempotent = (item) -> true;

		private Optional<String> self = Optional.empty();

		private int shardCount = 1;

		private Duration period = Duration.ofSeconds(6);

		private Duration relistEvery = Duration.ofSeconds(30);

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
		 * Sets the source of the identities of all entries that are not leaving.
		 * @param entries returns the identities
		 * @return this builder
		 */
		public Builder entries(Supplier<Set<String>> entries) {
			this.entries = Objects.requireNonNull(entries, "entries is null");
			return this;
		}

		/**
		 * Sets the identity of this entry among the entries.
		 * @param self the identity; the name of the stamps' writer if not set
		 * @return this builder
		 */
		public Builder self(String self) {
			this.self = Optional.of(self);
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
		 * Sets a listener that is called when a shard is acquired, lost or released, for
		 * instance to fence sidecars.
		 * @param listener the listener
		 * @return this builder
		 */
		public Builder shardListener(ShardListener listener) {
			this.shardListener = Objects.requireNonNull(listener, "listener is null");
			return this;
		}

		/**
		 * Sets the number of shards.
		 * @param shards the number of shards, the same at all entries; 1 if not set
		 * @return this builder
		 */
		public Builder shards(int shards) {
			this.shardCount = shards;
			return this;
		}

		/**
		 * Sets how long a lease is valid after its last renewal.
		 * @param period the period, 6 s if not set
		 * @return this builder
		 */
		public Builder period(Duration period) {
			this.period = Objects.requireNonNull(period, "period is null");
			return this;
		}

		/**
		 * Builds the job runner.
		 * @return a job runner that is not started
		 */
		public JobRunner build() {
			Objects.requireNonNull(this.timers, "timers is null");
			return new JobRunner(this);
		}

	}

}
