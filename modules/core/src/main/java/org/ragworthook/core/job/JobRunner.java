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
 * Runs batch jobs at one entry: holds its share of the shards and an owner for each,
 * hears of new and cancelled jobs by one watch, and shares the sidecars' room out over
 * the owners in turn.
 */
public final class JobRunner implements ShardListener {

	private static final Duration WATCH_AGAIN = Duration.ofSeconds(1);

	private static final int TURN = 8;

	private final Builder builder;

	private final ShardLeases shards;

	private final ShardOwner.Builder ownerBuilder;

	private final Map<Integer, ShardOwner> owners = new ConcurrentSkipListMap<>();

	private final SerialExecutor serial = new SerialExecutor();

	private final AtomicBoolean pumping = new AtomicBoolean();

	private final AtomicBoolean pumpAgain = new AtomicBoolean();

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
			.held(this.shards::held)
			.wake(this::capacityChanged);
	}

	/**
	 * Returns a builder.
	 * @param store where jobs are kept
	 * @param stamps marks each write; the name of its writer is this entry's identity
	 * @param sender hands items to sidecars
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, ItemSender sender) {
		return new Builder(store, stamps, sender);
	}

	/**
	 * Starts to take shards and to work on their jobs.
	 */
	public void start() {
		watch();
		this.shards.start();
		relistLoop();
	}

	/**
	 * Hands over all shards: running items are called back, results are written, leases
	 * are released.
	 * @return completes when all is handed over
	 */
	public CompletableFuture<Void> releaseShards() {
		this.closed = true;
		return this.shards.releaseAll().whenComplete((done, failure) -> this.watch.close());
	}

	/**
	 * Looks for shards that were released, such as when a peer says that it leaves.
	 */
	public void acquireFreeShards() {
		this.shards.acquireFree();
	}

	/**
	 * Returns the shards that this entry is in charge of.
	 * @return their numbers
	 */
	public List<Integer> shards() {
		return this.shards.held();
	}

	/**
	 * Returns how far the jobs of this entry's shards have come.
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

	// -- room

	/**
	 * Shares the sidecars' room out, after it has changed. Each owner sends a few items
	 * in turn: without turns the owner whose item has just ended would take its place
	 * again and again, and the jobs of other shards would not start before its own ended.
	 */
	public void capacityChanged() {
		this.pumpAgain.set(true);
		if (this.pumping.compareAndSet(false, true)) {
			this.serial.execute(() -> pump(0));
		}
	}

	private void pump(int idle) {
		List<ShardOwner> all = List.copyOf(this.owners.values());
		if (idle == 0) {
			this.pumpAgain.set(false);
		}
		if (idle >= all.size()) {
			this.pumping.set(false);
			if (this.pumpAgain.get()) {
				capacityChanged();
			}
			return;
		}
		ShardOwner owner = all.get(this.turn++ % all.size());
		owner.pumpUpTo(TURN)
			.whenCompleteAsync((sent, failure) -> pump((failure == null && sent > 0) ? 0 : idle + 1), this.serial);
	}

	// -- shards

	@Override
	public void acquired(int shard, Lease lease) {
		this.builder.shardListener.acquired(shard, lease);
		this.owners.computeIfAbsent(shard, this.ownerBuilder::build).own(lease);
	}

	@Override
	public void lost(int shard, Lease lease) {
		this.builder.shardListener.lost(shard, lease);
		ShardOwner owner = this.owners.get(shard);
		if (owner != null) {
			owner.lapse();
		}
	}

	@Override
	public CompletableFuture<Void> releasing(int shard, Lease lease) {
		ShardOwner owner = this.owners.get(shard);
		CompletableFuture<Void> left = (owner != null) ? owner.leave() : CompletableFuture.completedFuture(null);
		return left.thenCompose((done) -> this.builder.shardListener.releasing(shard, lease))
			.whenComplete((done, failure) -> this.owners.remove(shard, owner));
	}

	// -- watch

	// A watch needs a version to start from. The listing that gives it selects nothing;
	// the owners list their own jobs once the watch stands, so that none is missed.
	private void watch() {
		Labels nothing = Labels.of(JobRecord.SHARD, "none");
		this.builder.store.list(Kind.JOB, nothing).whenComplete((listing, failure) -> {
			if (this.closed) {
				return;
			}
			if (failure != null) {
				watchLater();
				return;
			}
			this.watch = this.builder.store.watch(Kind.JOB, Labels.of(JobRecord.STATE, JobRecord.OPEN),
					listing.version(), this::changed, this::watchLater);
			this.owners.values().forEach(ShardOwner::relist);
		});
	}

	private void watchLater() {
		this.builder.timers.schedule(WATCH_AGAIN, () -> {
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
				owner.changed(job);
			}
		});
	}

	// A watch can die without a word. One would notice jobs that are accepted and do not
	// start; so the owners also list their jobs now and then.
	private void relistLoop() {
		this.builder.timers.schedule(this.builder.relistEvery, () -> {
			if (!this.closed) {
				this.owners.values().forEach(ShardOwner::relist);
				relistLoop();
			}
		});
	}

	/**
	 * Builds a runner.
	 */
	public static final class Builder {

		private static final ShardListener NOBODY = new ShardListener() {

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

		private ShardListener shardListener = NOBODY;

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
		 * @param timers run what is due later
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
		 * Sets how the work is gone about.
		 * @param policy the policy
		 * @return this builder
		 */
		public Builder policy(BatchPolicy policy) {
			this.policy = Objects.requireNonNull(policy, "policy is null");
			return this;
		}

		/**
		 * Sets the weights of the accounts.
		 * @param weights the weight of an account, from 1
		 * @return this builder
		 */
		public Builder weights(ToIntFunction<String> weights) {
			this.weights = Objects.requireNonNull(weights, "weights is null");
			return this;
		}

		/**
		 * Sets where the identities of all entries that are not leaving come from.
		 * @param entries the identities
		 * @return this builder
		 */
		public Builder entries(Supplier<Set<String>> entries) {
			this.entries = Objects.requireNonNull(entries, "entries is null");
			return this;
		}

		/**
		 * Sets this entry's own identity among the entries.
		 * @param self the identity; the name of the stamps' writer if not set
		 * @return this builder
		 */
		public Builder self(String self) {
			this.self = Optional.of(self);
			return this;
		}

		/**
		 * Sets which items may be run again, besides what their lines say.
		 * @param idempotent tells of an item whether its service may be called twice
		 * @return this builder
		 */
		public Builder idempotent(Predicate<BatchItem> idempotent) {
			this.idempotent = Objects.requireNonNull(idempotent, "idempotent is null");
			return this;
		}

		/**
		 * Sets who else is told of shards taken and lost, such as what fences sidecars.
		 * @param events the listener
		 * @return this builder
		 */
		public Builder shardListener(ShardListener events) {
			this.shardListener = Objects.requireNonNull(events, "events is null");
			return this;
		}

		/**
		 * Sets over how many shards jobs are spread.
		 * @param shards the same at all entries
		 * @return this builder
		 */
		public Builder shards(int shards) {
			this.shardCount = shards;
			return this;
		}

		/**
		 * Sets how long a lease holds after its last write.
		 * @param period the period, 6 s if not set
		 * @return this builder
		 */
		public Builder period(Duration period) {
			this.period = Objects.requireNonNull(period, "period is null");
			return this;
		}

		/**
		 * Builds the runner.
		 * @return a runner that is not started yet
		 */
		public JobRunner build() {
			Objects.requireNonNull(this.timers, "timers is null");
			return new JobRunner(this);
		}

	}

}
