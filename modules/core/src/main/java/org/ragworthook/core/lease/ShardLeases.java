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
 * Distributes the leases of numbered shards over the entries. Each entry computes its own
 * share, acquires available shards up to that number and releases shards above it; shards
 * do not move otherwise.
 * <p>
 * The list of entries is delayed. While it contains an entry that is gone, that entry's
 * share would stay unowned and its jobs would stall. Therefore any entry acquires a shard
 * that has been available for a whole period, beyond its share, and keeps it until the
 * list of entries changes.
 */
public final class ShardLeases implements AutoCloseable {

	private static final int RENEWALS_PER_PERIOD = 3;

	private static final Duration POLL_INTERVAL_PER_ENTRY = Duration.ofMillis(50);

	private final Builder builder;

	private final Labels group;

	private final List<LeaseKeeper> keepers = new ArrayList<>();

	private final Map<Integer, Lease> announcedLeases = new HashMap<>();

	private final Map<Integer, Long> availableSinceNanos = new HashMap<>();

	private final Map<Integer, CompletableFuture<Void>> releasing = new HashMap<>();

	private Set<String> lastEntries = Set.of();

	private int extraShards;

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
	 * @param store the store that holds the leases
	 * @param stamps the marks that identify this process's writes; the writer name is the
	 * id of this entry
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps) {
		return new Builder(store, stamps);
	}

	/**
	 * Starts acquiring and renewing leases.
	 */
	public void start() {
		renewLoop();
		pollLoop();
	}

	/**
	 * Returns the lease of a shard while this entry holds it.
	 * @param shard the number of the shard
	 * @return the lease, or empty
	 */
	public Optional<Lease> held(int shard) {
		return this.keepers.get(shard).held();
	}

	/**
	 * Returns the shards that this entry holds.
	 * @return the numbers of the shards, ascending
	 */
	public List<Integer> held() {
		return IntStream.range(0, this.builder.shards).filter((shard) -> held(shard).isPresent()).boxed().toList();
	}

	/**
	 * Acquires available shards immediately, for example when a peer announces that it is
	 * draining. Costs one list call, and one write per acquired shard.
	 * @return completes when the available shards of this entry's share are acquired
	 */
	public CompletableFuture<Void> acquireFree() {
		return this.builder.store.list(Kind.LEASE, this.group)
			.thenCompose(this::processListing)
			.exceptionally((failure) -> null)
			.thenRun(this::announce);
	}

	/**
	 * Releases all shards and stops acquiring new ones.
	 * @return completes when the leases are released
	 */
	public CompletableFuture<Void> releaseAll() {
		close();
		return allOf(held(), this::release);
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
		allOf(shards(), (shard) -> this.keepers.get(shard).renew()).thenRun(this::announce);
	}

	// Includes lapsed leases: after an outage in which no other entry could acquire
	// them, they are renewed under the same epoch.
	private List<Integer> shards() {
		return IntStream.range(0, this.builder.shards).boxed().toList();
	}

	// -- acquisition and release

	private void pollLoop() {
		if (isClosed()) {
			return;
		}
		acquireFree().whenComplete((done, failure) -> this.builder.timers.schedule(nextPollDelay(), this::pollLoop));
	}

	// Each poll lists the leases of all shards. With one poll per second from each of
	// 320 entries, polling would use a sixth of the platform's read capacity and up to
	// 90 KB/s per entry. The interval therefore grows with the number of entries, so
	// that together they poll at most 20 times per second.
	private Duration nextPollDelay() {
		Duration sharedInterval = POLL_INTERVAL_PER_ENTRY.multipliedBy(this.builder.entries.get().size());
		return (sharedInterval.compareTo(this.builder.pollInterval) > 0) ? sharedInterval : this.builder.pollInterval;
	}

	private CompletableFuture<Void> processListing(Listing listing) {
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
			return allOf(held.subList(share.count(), held.size()), this::release);
		}
		return allOf(shardsToAcquire(share, share.count() - held.size()), (shard) -> this.keepers.get(shard).acquire());
	}

	private synchronized ShardShare share() {
		Set<String> entries = this.builder.entries.get();
		if (!entries.equals(this.lastEntries)) {
			this.lastEntries = Set.copyOf(entries);
			this.extraShards = 0;
		}
		ShardShare share = ShardShare.of(this.builder.shards, entries, this.builder.self);
		return new ShardShare(share.count() + this.extraShards, share.firstShard());
	}

	private synchronized List<Integer> shardsToAcquire(ShardShare share, int missing) {
		long now = this.builder.ticker.nanos();
		List<Integer> selected = new ArrayList<>();
		for (int step = 0; step < this.builder.shards; step++) {
			int shard = (share.firstShard() + step) % this.builder.shards;
			if (!this.keepers.get(shard).available()) {
				this.availableSinceNanos.remove(shard);
				continue;
			}
			long since = this.availableSinceNanos.computeIfAbsent(shard, (key) -> now);
			boolean unclaimed = now - since >= this.builder.period.toNanos();
			if (selected.size() < missing) {
				selected.add(shard);
			}
			else if (unclaimed) {
				selected.add(shard);
				this.extraShards++;
			}
		}
		return selected;
	}

	private CompletableFuture<Void> release(int shard) {
		LeaseKeeper keeper = this.keepers.get(shard);
		Optional<Lease> lease = keeper.held();
		if (lease.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		synchronized (this) {
			if (this.releasing.containsKey(shard)) {
				return this.releasing.get(shard);
			}
			this.releasing.put(shard, new CompletableFuture<>());
		}
		return this.builder.listener.releasing(shard, lease.get())
			.exceptionally((failure) -> null)
			.thenCompose((ready) -> keeper.release())
			.whenComplete((done, failure) -> released(shard));
	}

	private void released(int shard) {
		CompletableFuture<Void> done;
		synchronized (this) {
			this.announcedLeases.remove(shard);
			done = this.releasing.remove(shard);
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
			if (this.releasing.containsKey(shard)) {
				return;
			}
			before = Optional.ofNullable(this.announcedLeases.get(shard));
			if (before.equals(lease)) {
				return;
			}
			lease.ifPresentOrElse((now) -> this.announcedLeases.put(shard, now),
					() -> this.announcedLeases.remove(shard));
		}
		before.ifPresent((old) -> this.builder.listener.lost(shard, old));
		lease.ifPresent((now) -> this.builder.listener.acquired(shard, now));
	}

	private synchronized boolean isClosed() {
		return this.closed;
	}

	private static CompletableFuture<Void> allOf(List<Integer> shards, Function<Integer, CompletableFuture<?>> step) {
		return CompletableFuture.allOf(shards.stream()
			.map((shard) -> step.apply(shard).handle((done, failure) -> null))
			.toArray(CompletableFuture[]::new));
	}

	/**
	 * Builds {@link ShardLeases}.
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
		 * @param timers the timers that schedule renewals and polls
		 * @return this builder
		 */
		public Builder time(Ticker ticker, Timers timers) {
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
			this.timers = Objects.requireNonNull(timers, "timers is null");
			return this;
		}

		/**
		 * Sets the listener for acquired, lost and released shards.
		 * @param listener the listener
		 * @return this builder
		 */
		public Builder listener(ShardListener listener) {
			this.listener = Objects.requireNonNull(listener, "listener is null");
			return this;
		}

		/**
		 * Sets the source of the ids of all entries that are not draining.
		 * @param entries supplies the ids, from the instance list or the links
		 * @return this builder
		 */
		public Builder entries(Supplier<Set<String>> entries) {
			this.entries = Objects.requireNonNull(entries, "entries is null");
			return this;
		}

		/**
		 * Sets the id of this entry.
		 * @param self the id; the default is the writer name of the stamps
		 * @return this builder
		 */
		public Builder self(String self) {
			this.self = Objects.requireNonNull(self, "self is null");
			return this;
		}

		/**
		 * Sets the names and the number of the leases, which must be the same for all
		 * entries.
		 * @param group the common prefix of the names
		 * @param shards the number of shards
		 * @return this builder
		 */
		public Builder shards(String group, int shards) {
			this.group = Objects.requireNonNull(group, "group is null");
			this.shards = shards;
			return this;
		}

		/**
		 * Sets how long a lease is valid after its last write.
		 * @param period the period, in which a lease is renewed three times; the default
		 * is 6 s
		 * @return this builder
		 */
		public Builder period(Duration period) {
			this.period = Objects.requireNonNull(period, "period is null");
			return this;
		}

		/**
		 * Sets how often to poll for available shards. Each poll costs one list call.
		 * @param pollInterval the minimum time between two polls; the default is 1 s
		 * @return this builder
		 */
		public Builder pollInterval(Duration pollInterval) {
			this.pollInterval = Objects.requireNonNull(pollInterval, "pollInterval is null");
			return this;
		}

		/**
		 * Builds the leases.
		 * @return leases that are not started yet
		 */
		public ShardLeases build() {
			Objects.requireNonNull(this.timers, "timers is null");
			Objects.requireNonNull(this.listener, "listener is null");
			return new ShardLeases(this);
		}

	}

}
