package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
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
 *
 * @param <T> the type of the entries
 */
public final class FeedFollower<T> {

	private static final EventLog LOG = EventLog.of(FeedFollower.class);

	private final Feed<T> feed;

	private final FeedListener<T> listener;

	private final Timers timers;

	private final Executor loop;

	private final Duration maxWait;

	private final StoreHealth health;

	private final Supplier<Duration> coalescingDelay;

	private int failures;

	private boolean stopped;

	/**
	 * Ends the coalescing delay in progress and polls at once; empty while there is none.
	 */
	private Optional<Runnable> pendingPoll = Optional.empty();

	private FeedFollower(Feed<T> feed, FeedListener<T> listener, Timers timers, Executor loop, Duration maxWait,
			StoreHealth health, Supplier<Duration> coalescingDelay) {
		this.feed = Objects.requireNonNull(feed, "feed is null");
		this.listener = Objects.requireNonNull(listener, "listener is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.maxWait = Objects.requireNonNull(maxWait, "maxWait is null");
		this.health = Objects.requireNonNull(health, "health is null");
		this.coalescingDelay = Objects.requireNonNull(coalescingDelay, "coalescingDelay is null");
	}

	/**
	 * Starts to follow a collection.
	 * @param <T> the type of the entries
	 * @param feed the collection
	 * @param listener receives the content and the changes
	 * @param timers runs tasks later, on the event loop
	 * @param loop the event loop
	 * @param maxWait how long one call waits for changes
	 * @param health is notified whether the platform answers
	 * @param coalescingDelay gives the delay between received changes and the next poll,
	 * so that one call fetches all changes of that time; zero for no delay
	 * @return the follower
	 */
	public static <T> FeedFollower<T> start(Feed<T> feed, FeedListener<T> listener, Timers timers, Executor loop,
			Duration maxWait, StoreHealth health, Supplier<Duration> coalescingDelay) {
		FeedFollower<T> follower = new FeedFollower<>(feed, listener, timers, loop, maxWait, health, coalescingDelay);
		loop.execute(follower::list);
		return follower;
	}

	/**
	 * Stops following the collection.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void list() {
		if (this.stopped) {
			return;
		}
		this.feed.list().whenCompleteAsync((all, failure) -> {
			if (failure != null) {
				onFailure(failure);
				return;
			}
			onSuccess();
			LOG.info("feed_listed", "feed", this.feed.name(), "entries", all.changes().size(), "version",
					all.version());
			notifyListener(() -> this.listener.listed(all.changes()));
			watch(all.version());
		}, this.loop);
	}

	private void watch(long version) {
		if (this.stopped) {
			return;
		}
		this.feed.changes(version, this.maxWait).whenCompleteAsync((changes, failure) -> {
			if (failure != null) {
				onFailure(failure);
				return;
			}
			onSuccess();
			if (changes.isEmpty()) {
				LOG.info("feed_history_lost", "feed", this.feed.name(), "version", version);
				list();
				return;
			}
			changes.get().changes().forEach((change) -> notifyListener(() -> this.listener.changed(change)));
			watchAfterDelay(changes.get());
		}, this.loop);
	}

	/**
	 * Runs a call of the listener. If it fails, the collection is followed all the same:
	 * without further changes, this process would miss all later entries.
	 * @param call the call
	 */
	private void notifyListener(Runnable call) {
		try {
			call.run();
		}
		catch (RuntimeException ex) {
			LOG.warning("feed_listener_failed", "feed", this.feed.name(), "error", ex);
		}
	}

	private void watchAfterDelay(Changes<T> seen) {
		Duration delay = seen.changes().isEmpty() ? Duration.ZERO : this.coalescingDelay.get();
		if (delay.isZero()) {
			watch(seen.version());
		}
		else {
			Runnable poll = () -> poll(seen.version());
			Timers.Timer timer = this.timers.schedule(delay, poll);
			this.pendingPoll = Optional.of(() -> {
				timer.cancel();
				poll.run();
			});
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
		this.pendingPoll.ifPresent(Runnable::run);
	}

	private void onSuccess() {
		this.failures = 0;
		this.health.recordSuccess();
	}

	private void onFailure(Throwable failure) {
		this.failures++;
		this.health.recordFailure();
		LOG.warning("feed_interrupted", "feed", this.feed.name(), "failures", this.failures, "error",
				Failures.root(failure));
		this.timers.schedule(retryDelay(), this::list);
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

}
