package org.ragworthook.core.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Spreads the leases of numbered shards over the entries. Each entry works out its own
 * share, takes free shards up to it and releases what it holds above it; no shard moves
 * otherwise.
 * <p>
 * The list of entries lags. With an entry on it that is gone, the shares leave shards to
 * nobody, and one would notice jobs that stand still. So a shard that has stayed free for
 * a whole period is taken by whoever sees it, above its share, and kept until the list of
 * entries changes.
 */
public final class ShardLeases implements AutoCloseable {

	private static final int RENEWALS_PER_PERIOD = 3;

	private static final Duration LOOK_SPREAD = Duration.ofMillis(50);

	private final Builder builder;

	private final Labels group;

	private final List<LeaseKeeper> keepers = new ArrayList<>();

	private final Map<Integer, Lease> announced = new HashMap<>();

	private final Map<Integer, Long> freeSince = new HashMap<>();

	private final Map<Integer, CompletableFuture<Void>> leaving = new HashMap<>();

	private Set<String> lastEntries = Set.of();

	private int extra;

	private boolean closed;

	private ShardLeases(Builder builder) {
		this.builder = builder;
		this.group = Labels.of("group", builder.group);
		LeaseKeeper.Builder keeper = LeaseKeeper.builder(builder.store, builder.stamps, builder.ticker)
			.period(builder.period);
		IntStream.range(0, builder.shards)
			.forEach((shard) -> this.keepers.add(keeper.build(builder.group + "-" + shard, this.group)));
	}

	/**
	 * Returns a builder.
	 * @param store where the leases are
	 * @param stamps marks each write; the name of its writer is this entry's identity
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps) {
		return new Builder(store, stamps);
	}

	/**
	 * Starts to take and to renew leases.
	 */
	public void start() {
		renewLoop();
		lookLoop();
	}

	/**
	 * Returns the lease of a shard, as long as this entry may believe that it holds it.
	 * @param shard the shard's number
	 * @return the lease, or empty
	 */
	public Optional<Lease> held(int shard) {
		return this.keepers.get(shard).held();
	}

	/**
	 * Returns the shards that this entry holds.
	 * @return their numbers, ascending
	 */
	public List<Integer> held() {
		return IntStream.range(0, this.builder.shards).filter((shard) -> held(shard).isPresent()).boxed().toList();
	}

	/**
	 * Looks for free shards now, such as when a peer says that it leaves. Costs one list,
	 * and a write for each shard taken.
	 * @return completes when the shards within reach are taken
	 */
	public CompletableFuture<Void> acquireFree() {
		return this.builder.store.list(Kind.LEASE, this.group)
			.thenCompose(this::settle)
			.exceptionally((failure) -> null)
			.thenRun(this::announce);
	}

	/**
	 * Hands over all shards. The map takes none afterwards.
	 * @return completes when the leases are released
	 */
	public CompletableFuture<Void> releaseAll() {
		close();
		return all(held(), this::handOver);
	}

	@Override
	public synchronized void close() {
		this.closed = true;
	}

	// -- renewal

	private void renewLoop() {
		if (isClosed() && this.held().isEmpty()) {
			return;
		}
		this.builder.timers.schedule(this.builder.period.dividedBy(RENEWALS_PER_PERIOD), this::renewLoop);
		all(shards(), (shard) -> this.keepers.get(shard).renew()).thenRun(this::announce);
	}

	// Lapsed leases are renewed, too: after an outage in which nobody could take them
	// over
	// they come back under the same epoch.
	private List<Integer> shards() {
		return IntStream.range(0, this.builder.shards).boxed().toList();
	}

	// -- taking and giving

	private void lookLoop() {
		if (isClosed()) {
			return;
		}
		acquireFree().whenComplete((done, failure) -> this.builder.timers.schedule(lookAgain(), this::lookLoop));
	}

	// Each look lists the leases of all shards. One a second from each of 320 entries
	// would
	// be a sixth of all reads that the platform takes, and up to 90 KB/s for each entry;
	// so
	// together they look no more often than twenty times a second, however many they are.
	private Duration lookAgain() {
		Duration spread = LOOK_SPREAD.multipliedBy(this.builder.entries.get().size());
		return (spread.compareTo(this.builder.pollInterval) > 0) ? spread : this.builder.pollInterval;
	}

	private CompletableFuture<Void> settle(Listing listing) {
		Map<String, Stored> found = listing.objects()
			.stream()
			.collect(Collectors.toMap((stored) -> stored.key().name(), Function.identity()));
		this.keepers.forEach((keeper) -> keeper.observe(Optional.ofNullable(found.get(keeper.name()))));
		announce();
		if (isClosed()) {
			return CompletableFuture.completedFuture(null);
		}
		ShardShare share = share();
		List<Integer> held = held();
		if (held.size() > share.count()) {
			return all(held.subList(share.count(), held.size()), this::handOver);
		}
		return all(wanted(share, share.count() - held.size()), (shard) -> this.keepers.get(shard).acquire());
	}

	private synchronized ShardShare share() {
		Set<String> entries = this.builder.entries.get();
		if (!entries.equals(this.lastEntries)) {
			this.lastEntries = Set.copyOf(entries);
			this.extra = 0;
		}
		ShardShare share = ShardShare.of(this.builder.shards, entries, this.builder.self);
		return new ShardShare(share.count() + this.extra, share.firstShard());
	}

	private synchronized List<Integer> wanted(ShardShare share, int lacking) {
		long now = this.builder.ticker.nanos();
		List<Integer> wanted = new ArrayList<>();
		for (int step = 0; step < this.builder.shards; step++) {
			int shard = (share.firstShard() + step) % this.builder.shards;
			if (!this.keepers.get(shard).available()) {
				this.freeSince.remove(shard);
				continue;
			}
			long since = this.freeSince.computeIfAbsent(shard, (key) -> now);
			boolean unwanted = now - since >= this.builder.period.toNanos();
			if (wanted.size() < lacking) {
				wanted.add(shard);
			}
			else if (unwanted) {
				wanted.add(shard);
				this.extra++;
			}
		}
		return wanted;
	}

	private CompletableFuture<Void> handOver(int shard) {
		LeaseKeeper keeper = this.keepers.get(shard);
		Optional<Lease> lease = keeper.held();
		if (lease.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		synchronized (this) {
			if (this.leaving.containsKey(shard)) {
				return this.leaving.get(shard);
			}
			this.leaving.put(shard, new CompletableFuture<>());
		}
		return this.builder.listener.releasing(shard, lease.get())
			.exceptionally((failure) -> null)
			.thenCompose((ready) -> keeper.release())
			.whenComplete((done, failure) -> left(shard));
	}

	private void left(int shard) {
		CompletableFuture<Void> done;
		synchronized (this) {
			this.announced.remove(shard);
			done = this.leaving.remove(shard);
		}
		done.complete(null);
	}

	// -- notification

	private void announce() {
		for (int shard = 0; shard < this.builder.shards; shard++) {
			announce(shard, held(shard));
		}
	}

	private void announce(int shard, Optional<Lease> lease) {
		Optional<Lease> before;
		synchronized (this) {
			if (this.leaving.containsKey(shard)) {
				return;
			}
			before = Optional.ofNullable(this.announced.get(shard));
			if (before.equals(lease)) {
				return;
			}
			lease.ifPresentOrElse((now) -> this.announced.put(shard, now), () -> this.announced.remove(shard));
		}
		before.ifPresent((old) -> this.builder.listener.lost(shard, old));
		lease.ifPresent((now) -> this.builder.listener.acquired(shard, now));
	}

	private synchronized boolean isClosed() {
		return this.closed;
	}

	private static CompletableFuture<Void> all(List<Integer> shards, Function<Integer, CompletableFuture<?>> step) {
		return CompletableFuture.allOf(shards.stream()
			.map((shard) -> step.apply(shard).handle((done, failure) -> null))
			.toArray(CompletableFuture[]::new));
	}

	/**
	 * Builds a shard map.
	 */
	public static final class Builder {

		private final ObjectStore store;

		private final Stamps stamps;

		private String self;

		private Ticker ticker = Ticker.system();

		private Timers timers;

		private ShardListener listener;

		private Supplier<Set<String>> entries = Set::of;

		private String group = "shard";

		private int shards = 1;

		private Duration period = Duration.ofSeconds(6);

		private Duration pollInterval = Duration.ofSeconds(1);

		private Builder(ObjectStore store, Stamps stamps) {
			this.store = Objects.requireNonNull(store, "store is null");
			this.stamps = Objects.requireNonNull(stamps, "stamps is null");
			this.self = stamps.writer();
		}

		/**
		 * Sets the clock and the timers.
		 * @param ticker the monotonic clock
		 * @param timers run the renewals
		 * @return this builder
		 */
		public Builder time(Ticker ticker, Timers timers) {
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
			this.timers = Objects.requireNonNull(timers, "timers is null");
			return this;
		}

		/**
		 * Sets who is told of shards taken and lost.
		 * @param listener the listener
		 * @return this builder
		 */
		public Builder listener(ShardListener listener) {
			this.listener = Objects.requireNonNull(listener, "listener is null");
			return this;
		}

		/**
		 * Sets where the identities of all entries that are not leaving come from.
		 * @param entries the identities, as the instance list or the links know them
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
			this.self = Objects.requireNonNull(self, "self is null");
			return this;
		}

		/**
		 * Sets the leases' name and number. All entries must agree on them.
		 * @param group the common part of the names
		 * @param shards how many there are
		 * @return this builder
		 */
		public Builder shards(String group, int shards) {
			this.group = Objects.requireNonNull(group, "group is null");
			this.shards = shards;
			return this;
		}

		/**
		 * Sets how long a lease holds after its last write.
		 * @param period the period, 6 s if not set; renewed three times in it
		 * @return this builder
		 */
		public Builder period(Duration period) {
			this.period = Objects.requireNonNull(period, "period is null");
			return this;
		}

		/**
		 * Sets how often to look for free shards. Each look costs one list.
		 * @param pollInterval the pause between two looks, 1 s if not set
		 * @return this builder
		 */
		public Builder pollInterval(Duration pollInterval) {
			this.pollInterval = Objects.requireNonNull(pollInterval, "lookEvery is null");
			return this;
		}

		/**
		 * Builds the map.
		 * @return a map that is not started yet
		 */
		public ShardLeases build() {
			Objects.requireNonNull(this.timers, "timers is null");
			Objects.requireNonNull(this.listener, "listener is null");
			return new ShardLeases(this);
		}

	}

}
