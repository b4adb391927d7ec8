package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Follows a collection for as long as the process runs: lists it, then watches it for
 * changes.
 * <p>
 * A watch can be interrupted, and the platform can drop the history that it would resume
 * from. A watch that resumes from the last version seen may then be accepted and still
 * miss the changes in between, so that upstreams are used long after they left, or
 * callers are refused under an outdated configuration. So the collection is listed anew
 * after every interruption.
 * <p>
 * The response to a watch can also be lost without any sign on its connection. The watch
 * is in doubt once another call of this process got no response, or once a change that is
 * known from elsewhere is overdue. The collection is then listed while the watch stays
 * open, and whichever is answered first is used.
 * <p>
 * If all processes lose their watches at once, or the platform accepts a watch and
 * delivers nothing on it, neither shows. One process of the fleet therefore compares the
 * collection with what it has received at short intervals ({@link FeedChecks}).
 * <p>
 * While a listener fails, the state from before the failed call is kept for the entries
 * concerned, other changes are delivered, and the collection is listed again at growing
 * intervals. Used on the event loop.
 *
 * @param <T> the type of the entries
 */
public final class FeedFollower<T> {

	private static final EventLog LOG = EventLog.of(FeedFollower.class);

	/** How much later than to a peer a change may be delivered to this process. */
	static final Duration MAX_DELIVERY_LAG = Duration.ofMillis(500);

	/** Upper bound of a random delay that spreads the listings of many processes. */
	static final Duration MAX_SPREAD = Duration.ofMillis(200);

	/**
	 * How long this process may have another number of entries than the one that checks
	 * the collection: longer than until the next check, whose result may be the newer
	 * one.
	 */
	static final Duration MAX_ENTRIES_LAG = Duration.ofMillis(800);

	/** Minimum interval between two listings since the numbers of entries differ. */
	private static final Duration ENTRIES_LISTING_INTERVAL = Duration.ofSeconds(5);

	/** How long the number of entries counts as verified after a check. */
	private static final Duration VERIFICATION_LIFETIME = Duration.ofMillis(1_500);

	/**
	 * How soon the collection is listed again after a failure of the listener. Doubled
	 * with each further failure, since an entry may make it fail every time.
	 */
	private static final Duration LISTENER_RETRY_DELAY = Duration.ofMillis(500);

	/** Limits the delay to 16 seconds. */
	private static final int MAX_RETRY_DOUBLINGS = 5;

	/**
	 * Limits the listings and the memory for reports of versions that the store does not
	 * have: one for each process of a large fleet.
	 */
	private static final int MAX_REFUTED_VERSIONS = 500;

	private final Feed<T> feed;

	private final FeedListener<T> listener;

	private final Ticker ticker;

	private final Timers timers;

	private final Executor loop;

	private final RandomGenerator random;

	private final Duration maxWait;

	private final StoreHealth health;

	private final Supplier<Duration> coalescingDelay;

	private final boolean checkable;

	/** The entries that were received, if the collection can be checked. */
	private final Map<String, Change<T>> entries = new HashMap<>();

	private int failures;

	/** Successive failures of the listener. */
	private int listenerFailures;

	private boolean listenerRetryPending;

	private boolean checking;

	private boolean entriesCheckPending;

	private boolean stopped;

	private Optional<Listing> listing = Optional.empty();

	private Optional<Watch> openWatch = Optional.empty();

	/** The version that the last answer stated. */
	private long seenVersion;

	/** The version of the last listing that was delivered. */
	private long listedVersion;

	/** Counts the answers with entries, to recognize an answer that is out of date. */
	private long deliveries;

	/** The version of the newest change that was received. */
	private long newestChange;

	/**
	 * When the newest change was received. Earlier by the delivery lag if the watch
	 * should have delivered it before.
	 */
	private long newestChangeNanos;

	/** The highest version of a change that a peer has received. */
	private long expectedVersion;

	/**
	 * Reported versions that a later listing did not have. They are not expected again,
	 * and do not hide the lower versions of later changes.
	 */
	private final Set<Long> refutedVersions = new HashSet<>();

	/** When a report of the expected version was received. */
	private long expectedNanos;

	/** What the peer that checks the collection has reported last. */
	private Optional<VerifiedEntries> expectedEntries = Optional.empty();

	/** When the collection was last listed since the numbers of entries differed. */
	private Optional<Long> entriesListedNanos = Optional.empty();

	/** When a check last confirmed or corrected the entries. */
	private Optional<Long> verifiedNanos = Optional.empty();

	/** When the store, or a peer that checks the collection, last confirmed the state. */
	private Optional<Long> confirmedNanos = Optional.empty();

	/** The coalescing delay in progress; empty while there is none. */
	private Optional<PendingPoll> pendingPoll = Optional.empty();

	private FeedFollower(Builder<T> builder) {
		this.feed = builder.feed;
		this.listener = builder.listener;
		this.ticker = Objects.requireNonNull(builder.ticker, "ticker is null");
		this.timers = Objects.requireNonNull(builder.timers, "timers is null");
		this.loop = Objects.requireNonNull(builder.loop, "loop is null");
		this.random = Objects.requireNonNull(builder.random, "random is null");
		this.maxWait = Objects.requireNonNull(builder.maxWait, "maxWait is null");
		this.health = Objects.requireNonNull(builder.health, "health is null");
		this.coalescingDelay = Objects.requireNonNull(builder.coalescingDelay, "coalescingDelay is null");
		this.checkable = builder.checkable;
		this.newestChangeNanos = this.ticker.nanos();
	}

	/**
	 * Returns a builder of a follower.
	 * @param <T> the type of the entries
	 * @param feed the collection
	 * @param listener receives the content and the changes
	 * @return the builder
	 */
	public static <T> Builder<T> builder(Feed<T> feed, FeedListener<T> listener) {
		return new Builder<>(feed, listener);
	}

	/**
	 * Stops following the collection.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Returns the name of the collection.
	 * @return the name
	 */
	public String name() {
		return this.feed.name();
	}

	/**
	 * Returns the version of the newest change that was received.
	 * @return the version, 0 if there was no change
	 */
	public long newestChange() {
		return this.newestChange;
	}

	/**
	 * Returns for how long peers may have had the newest change.
	 * @return the time since it was received, longer if it was received late
	 */
	public Duration newestChangeAge() {
		return Duration.ofNanos(this.ticker.nanos() - this.newestChangeNanos);
	}

	/**
	 * Returns the number of entries if a check of this process has verified them a moment
	 * ago.
	 * @return the number, or empty if there was no recent check
	 */
	public OptionalInt verifiedEntries() {
		boolean recent = this.verifiedNanos
			.filter((verified) -> this.ticker.nanos() - verified <= VERIFICATION_LIFETIME.toNanos())
			.isPresent();
		return recent ? OptionalInt.of(this.entries.size()) : OptionalInt.empty();
	}

	/**
	 * Returns how long ago the state of this process was last known to be the newest one:
	 * the store has answered, or a peer that checks the collection has reported the same
	 * state.
	 * @return the age, or empty if there was no answer yet
	 */
	public Optional<Duration> confirmationAge() {
		return this.confirmedNanos.map((confirmed) -> Duration.ofNanos(this.ticker.nanos() - confirmed));
	}

	// -- listing

	private void list(Duration delay) {
		if (this.listing.isPresent()) {
			return;
		}
		Listing next = new Listing();
		this.listing = Optional.of(next);
		if (delay.isZero()) {
			next.start();
		}
		else {
			this.timers.schedule(delay, next::start);
		}
	}

	private void listed(Changes<T> all, long startedNanos) {
		this.listing = Optional.empty();
		onSuccess();
		LOG.info("feed_listed", "feed", this.feed.name(), "entries", all.changes().size(), "version", all.version());
		boolean late = this.pendingPoll.isEmpty();
		this.pendingPoll.ifPresent(PendingPoll::cancel);
		this.pendingPoll = Optional.empty();
		this.openWatch.ifPresent(Watch::cancel);
		received(all);
		this.listedVersion = all.version();
		long newest = removesEntries(all.changes()) ? all.version() : all.newestChange();
		recordNewestChange(newest, late);
		if (this.checkable) {
			this.entries.clear();
			all.changes().forEach(this::track);
		}
		if (notifyListener(() -> this.listener.listed(all.changes()))) {
			this.listenerFailures = 0;
		}
		watch(all.version());
		if (!hasReceived(this.expectedVersion)) {
			if (this.expectedNanos - startedNanos >= 0) {
				list(Duration.ZERO);
			}
			else {
				refuteExpectedVersion();
			}
		}
	}

	private void refuteExpectedVersion() {
		this.refutedVersions.removeIf(this::hasReceived);
		if (this.refutedVersions.size() < MAX_REFUTED_VERSIONS) {
			this.refutedVersions.add(this.expectedVersion);
			this.expectedVersion = 0;
		}
	}

	private void received(Changes<T> changes) {
		this.seenVersion = changes.version();
		this.deliveries++;
	}

	private void recordNewestChange(long version, boolean late) {
		if (version > this.newestChange) {
			this.newestChange = version;
			this.newestChangeNanos = this.ticker.nanos() - (late ? MAX_DELIVERY_LAG.toNanos() : 0);
		}
	}

	/**
	 * Returns whether a listing is without entries that were received before. A listing
	 * does not state the version of a removal, which is at most that of the listing.
	 * @param all the listed entries
	 * @return whether an entry was removed
	 */
	private boolean removesEntries(List<Change<T>> all) {
		Map<String, Change<T>> listed = readable(all);
		return this.entries.keySet().stream().anyMatch((name) -> !listed.containsKey(name));
	}

	private Map<String, Change<T>> readable(List<Change<T>> all) {
		Map<String, Change<T>> readable = new HashMap<>();
		all.stream()
			.filter((change) -> change.value().isPresent())
			.forEach((change) -> readable.put(change.name(), change));
		return readable;
	}

	private void track(Change<T> change) {
		if (!this.checkable) {
			return;
		}
		if (change.value().isPresent()) {
			this.entries.put(change.name(), change);
		}
		else {
			this.entries.remove(change.name());
		}
	}

	// -- watching

	private void watch(long version) {
		if (this.stopped) {
			return;
		}
		Watch watch = new Watch(version);
		this.openWatch = Optional.of(watch);
		watch.start();
	}

	/**
	 * Delivers changes. A listing in progress is dropped: it may be older than the
	 * changes, and the watch is no longer in doubt. If a reported change is still
	 * missing, the watch has passed it, and the collection is listed anew.
	 * @param changes the changes
	 */
	private void changed(Changes<T> changes) {
		boolean dropsListing = this.listing.isPresent();
		this.listing = Optional.empty();
		onSuccess();
		received(changes);
		recordNewestChange(changes.newestChange(), false);
		for (Change<T> change : changes.changes()) {
			track(change);
			notifyListener(() -> this.listener.changed(change));
		}
		watchAfterDelay(changes);
		if (dropsListing && !hasReceived(this.expectedVersion)) {
			list(Duration.ZERO);
		}
	}

	/**
	 * Runs a call of the listener. If it fails, with an error too, the collection is
	 * followed all the same: without further changes, this process would miss all later
	 * entries. It is listed again, since what has failed may succeed later.
	 * @param call the call
	 * @return whether the call has succeeded
	 */
	private boolean notifyListener(Runnable call) {
		try {
			call.run();
			return true;
		}
		catch (Throwable ex) {
			LOG.warning("feed_listener_failed", "feed", this.feed.name(), "error", ex);
			retryListener();
			return false;
		}
	}

	private void retryListener() {
		if (this.listenerRetryPending) {
			return;
		}
		this.listenerRetryPending = true;
		int doublings = Math.min(MAX_RETRY_DOUBLINGS, this.listenerFailures++);
		this.timers.schedule(LISTENER_RETRY_DELAY.multipliedBy(1L << doublings), () -> {
			this.listenerRetryPending = false;
			list(Duration.ZERO);
		});
	}

	/**
	 * Returns a callback whose failure does not end the following of the collection. A
	 * future would keep the failure, and nobody reads it.
	 * @param <R> the type of the result
	 * @param callback the callback
	 * @return the callback to pass to a future
	 */
	private <R> BiConsumer<R, Throwable> guarded(BiConsumer<R, Throwable> callback) {
		return (result, failure) -> {
			try {
				callback.accept(result, failure);
			}
			catch (Throwable ex) {
				LOG.warning("feed_callback_failed", "feed", this.feed.name(), "error", ex);
				this.pendingPoll.ifPresent(PendingPoll::cancel);
				this.pendingPoll = Optional.empty();
				this.openWatch.ifPresent(Watch::cancel);
				this.listing = Optional.empty();
				this.failures++;
				list(retryDelay());
			}
		};
	}

	private void watchAfterDelay(Changes<T> seen) {
		Duration delay = seen.changes().isEmpty() ? Duration.ZERO : this.coalescingDelay.get();
		if (delay.isZero()) {
			watch(seen.version());
		}
		else {
			this.pendingPoll = Optional
				.of(new PendingPoll(this.timers.schedule(delay, () -> poll(seen.version())), seen.version()));
		}
	}

	private void poll(long version) {
		this.pendingPoll = Optional.empty();
		watch(version);
	}

	/**
	 * Polls for changes at once if a coalescing delay is in progress. Called when there
	 * is a change that must not wait for others.
	 */
	public void pollNow() {
		this.pendingPoll.ifPresent((pending) -> {
			pending.cancel();
			poll(pending.version);
		});
	}

	private void onSuccess() {
		this.failures = 0;
		this.confirmedNanos = Optional.of(this.ticker.nanos());
		this.health.recordSuccess();
	}

	private void interrupted(Throwable failure) {
		this.failures++;
		LOG.warning("feed_interrupted", "feed", this.feed.name(), "failures", this.failures, "error",
				Failures.root(failure));
	}

	/**
	 * Returns the delay before the next attempt: short after an interruption, so that
	 * changes are seen in time, and at most 400 ms, so that the end of an outage is
	 * noticed soon.
	 * @return the delay
	 */
	private Duration retryDelay() {
		return Duration.ofMillis(Math.min(400, 50L << Math.min(3, this.failures - 1)));
	}

	// -- doubt

	/**
	 * Called when a peer has received a change of the collection. Lists the collection if
	 * the watch does not deliver the change soon.
	 * @param version the version of the change
	 * @param age for how long this process could have had the change
	 */
	public void expectVersion(long version, Duration age) {
		if (version > this.expectedVersion && !this.refutedVersions.contains(version) && !hasReceived(version)) {
			this.expectedVersion = version;
			this.expectedNanos = this.ticker.nanos();
			Duration left = MAX_DELIVERY_LAG.minus(age);
			expectChange(() -> hasReceived(version), left.isNegative() ? Duration.ZERO : left);
		}
	}

	/**
	 * Returns whether the state that was delivered includes a change. A watch may have
	 * stated a higher version without the change, if the store has dropped its history.
	 * @param version the version of the change
	 * @return whether the change, or a listing with it, was delivered
	 */
	private boolean hasReceived(long version) {
		return this.newestChange >= version || this.listedVersion >= version;
	}

	/**
	 * Called when a change of the collection is known from elsewhere. Lists the
	 * collection if the watch does not deliver the change soon.
	 * @param received returns whether the change has been delivered
	 */
	public void expectChange(BooleanSupplier received) {
		expectChange(received, MAX_DELIVERY_LAG);
	}

	private void expectChange(BooleanSupplier received, Duration lag) {
		if (!received.getAsBoolean()) {
			this.timers.schedule(lag.plus(spread()), () -> checkDelivery(received, lag));
		}
	}

	private Duration spread() {
		return Duration.ofNanos(this.random.nextLong(MAX_SPREAD.toNanos()));
	}

	private void checkDelivery(BooleanSupplier received, Duration lag) {
		if (this.stopped || received.getAsBoolean()) {
			return;
		}
		long openedBefore = this.ticker.nanos() - lag.toNanos();
		if (this.listing.isPresent() || !openSince(openedBefore)) {
			expectChange(received);
			return;
		}
		listInDoubt("change_overdue");
	}

	/**
	 * Called when the peer that checks the collection has reported the number of entries.
	 * Lists the collection if this process has another number for longer than a change
	 * takes: a removal need not have a version of its own.
	 * @param version the version of the newest change that the peer has received
	 * @param count the number of entries
	 */
	public void expectEntries(long version, int count) {
		this.expectedEntries = Optional.of(new VerifiedEntries(version, count));
		if (!entriesDiffer()) {
			if (this.newestChange >= version && this.openWatch.isPresent()) {
				this.confirmedNanos = Optional.of(this.ticker.nanos());
			}
			return;
		}
		if (!this.entriesCheckPending) {
			this.entriesCheckPending = true;
			this.timers.schedule(MAX_ENTRIES_LAG.plus(spread()), this::checkEntries);
		}
	}

	private boolean entriesDiffer() {
		return this.checkable && this.expectedEntries
			.filter((expected) -> this.newestChange <= expected.version && this.entries.size() != expected.count)
			.isPresent();
	}

	private void checkEntries() {
		this.entriesCheckPending = false;
		long now = this.ticker.nanos();
		boolean listedBefore = this.entriesListedNanos
			.filter((listed) -> now - listed < ENTRIES_LISTING_INTERVAL.toNanos())
			.isPresent();
		if (!this.stopped && entriesDiffer() && !listedBefore && this.listing.isEmpty() && openSince(now)) {
			this.entriesListedNanos = Optional.of(now);
			listInDoubt("entries_differ");
		}
	}

	private void listInDoubt(String reason) {
		LOG.warning("watch_in_doubt", "feed", this.feed.name(), "reason", reason, "version", this.seenVersion);
		list(Duration.ZERO);
	}

	/**
	 * Compares the collection with what was received, and delivers the difference. Does
	 * nothing while the collection is being listed anyway.
	 */
	public void check() {
		if (this.stopped || this.checking || this.listing.isPresent() || this.listedVersion == 0) {
			return;
		}
		this.checking = true;
		long deliveriesBefore = this.deliveries;
		long startedNanos = this.ticker.nanos();
		listOnce().whenComplete(guarded((all, failure) -> {
			this.checking = false;
			if (failure != null) {
				this.health.recordInterruption();
			}
			if (this.stopped || this.listing.isPresent() || this.deliveries != deliveriesBefore) {
				return;
			}
			if (failure != null) {
				// If the listing fails too, the store counts as lost, and a peer checks.
				listInDoubt("check_failed");
				return;
			}
			checked(all, startedNanos);
		}));
	}

	private void checked(Changes<T> all, long startedNanos) {
		this.verifiedNanos = Optional.of(this.ticker.nanos());
		if (!differs(readable(all.changes()))) {
			onSuccess();
			return;
		}
		LOG.warning("watch_in_doubt", "feed", this.feed.name(), "reason", "change_listed", "version", this.seenVersion);
		listed(all, startedNanos);
	}

	/**
	 * Returns whether a listing differs from what was received. An entry that was written
	 * again without a change does not count.
	 * @param listed the listed entries
	 * @return whether an entry is new, changed or removed
	 */
	private boolean differs(Map<String, Change<T>> listed) {
		return !listed.keySet().equals(this.entries.keySet()) || listed.values().stream().anyMatch((change) -> {
			Change<T> before = this.entries.get(change.name());
			return before.version() != change.version() && !before.value().equals(change.value());
		});
	}

	/**
	 * Lists the collection. The first listing of a process is not sent a second time: its
	 * connections are new, and all processes may start at once.
	 * @return the listing, completed on the event loop
	 */
	private CompletableFuture<Changes<T>> listOnce() {
		if (this.listedVersion == 0) {
			return HedgedListing.call(this.feed::list).whenCompleteAsync((all, failure) -> {
			}, this.loop);
		}
		return HedgedListing.start(this.feed, this.timers, this.loop, this.health::recordOverdue);
	}

	private void onUnanswered(long owedSinceNanos) {
		if (!this.stopped && this.listing.isEmpty() && openSince(owedSinceNanos)) {
			listInDoubt("call_unanswered");
		}
	}

	private boolean openSince(long nanos) {
		return this.openWatch.filter((watch) -> watch.openedNanos - nanos <= 0).isPresent();
	}

	/**
	 * Lists the collection until the listing is answered, or a watch that is open
	 * meanwhile.
	 */
	private final class Listing {

		void start() {
			if (FeedFollower.this.stopped || !isCurrent()) {
				return;
			}
			long startedNanos = FeedFollower.this.ticker.nanos();
			listOnce().whenComplete(guarded((all, failure) -> {
				if (!isCurrent()) {
					return;
				}
				if (failure == null) {
					listed(all, startedNanos);
					return;
				}
				FeedFollower.this.health.recordFailure();
				interrupted(failure);
				FeedFollower.this.timers.schedule(retryDelay(), this::start);
			}));
		}

		private boolean isCurrent() {
			return FeedFollower.this.listing.filter((current) -> current == this).isPresent();
		}

	}

	/**
	 * One call that waits for changes.
	 */
	private final class Watch {

		private final long version;

		private final long openedNanos = FeedFollower.this.ticker.nanos();

		private Optional<CompletableFuture<?>> call = Optional.empty();

		Watch(long version) {
			this.version = version;
		}

		void start() {
			CompletableFuture<Optional<Changes<T>>> changes = HedgedListing
				.call(() -> FeedFollower.this.feed.changes(this.version, FeedFollower.this.maxWait));
			this.call = Optional.of(changes);
			changes.whenCompleteAsync(guarded(this::completed), FeedFollower.this.loop);
		}

		private void completed(Optional<Changes<T>> changes, Throwable failure) {
			if (FeedFollower.this.openWatch.filter((current) -> current == this).isEmpty()) {
				return;
			}
			FeedFollower.this.openWatch = Optional.empty();
			if (failure != null) {
				FeedFollower.this.health.recordInterruption();
				interrupted(failure);
				list(retryDelay());
			}
			else if (changes.isEmpty()) {
				onSuccess();
				LOG.info("feed_history_lost", "feed", FeedFollower.this.feed.name(), "version", this.version);
				list(Duration.ZERO);
			}
			else {
				changed(changes.get());
			}
		}

		void cancel() {
			FeedFollower.this.openWatch = Optional.empty();
			this.call.ifPresent((open) -> open.cancel(false));
		}

	}

	/**
	 * A coalescing delay in progress.
	 *
	 * @param timer polls at the end of the delay
	 * @param version the version after which changes are polled for
	 */
	private record PendingPoll(Timers.Timer timer, long version) {

		void cancel() {
			this.timer.cancel();
		}

	}

	/**
	 * What a peer that checks the collection has.
	 *
	 * @param version the version of the newest change that it has received
	 * @param count the number of entries
	 */
	private record VerifiedEntries(long version, int count) {
	}

	/**
	 * Builds a follower.
	 *
	 * @param <T> the type of the entries
	 */
	public static final class Builder<T> {

		private final Feed<T> feed;

		private final FeedListener<T> listener;

		private Ticker ticker;

		private Timers timers;

		private Executor loop;

		private RandomGenerator random;

		private Duration maxWait;

		private StoreHealth health;

		private Supplier<Duration> coalescingDelay = () -> Duration.ZERO;

		private boolean checkable;

		private Builder(Feed<T> feed, FeedListener<T> listener) {
			this.feed = Objects.requireNonNull(feed, "feed is null");
			this.listener = Objects.requireNonNull(listener, "listener is null");
		}

		/**
		 * Sets the monotonic clock.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder<T> ticker(Ticker clock) {
			this.ticker = clock;
			return this;
		}

		/**
		 * Sets what runs tasks later, on the event loop.
		 * @param scheduler the timers
		 * @return this builder
		 */
		public Builder<T> timers(Timers scheduler) {
			this.timers = scheduler;
			return this;
		}

		/**
		 * Sets the event loop.
		 * @param executor the event loop
		 * @return this builder
		 */
		public Builder<T> loop(Executor executor) {
			this.loop = executor;
			return this;
		}

		/**
		 * Sets the source of the random delays.
		 * @param generator the source
		 * @return this builder
		 */
		public Builder<T> random(RandomGenerator generator) {
			this.random = generator;
			return this;
		}

		/**
		 * Sets how long one call waits for changes.
		 * @param duration the duration
		 * @return this builder
		 */
		public Builder<T> maxWait(Duration duration) {
			this.maxWait = duration;
			return this;
		}

		/**
		 * Sets what records whether the platform answers.
		 * @param record the record
		 * @return this builder
		 */
		public Builder<T> health(StoreHealth record) {
			this.health = record;
			return this;
		}

		/**
		 * Sets the delay between received changes and the next poll, so that one call
		 * fetches all changes of that time.
		 * @param delay returns the delay, zero for none
		 * @return this builder
		 */
		public Builder<T> coalescingDelay(Supplier<Duration> delay) {
			this.coalescingDelay = delay;
			return this;
		}

		/**
		 * Keeps the entries, so that the collection can be compared with them.
		 * @param condition whether {@link FeedFollower#check()} is used
		 * @return this builder
		 */
		public Builder<T> checkable(boolean condition) {
			this.checkable = condition;
			return this;
		}

		/**
		 * Starts to follow the collection.
		 * @return the follower
		 * @throws NullPointerException if a part is not set
		 */
		public FeedFollower<T> start() {
			FeedFollower<T> follower = new FeedFollower<>(this);
			this.health.onUnanswered(follower::onUnanswered);
			this.loop.execute(() -> follower.list(Duration.ZERO));
			return follower;
		}

	}

}
