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
 * Follows a collection for as long as the process runs.
 * <p>
 * A watch can be cut off, and the platform can drop the history that it would go on from.
 * Around such a moment a watch that is taken up from the last version seen may be
 * accepted and still not be told what came in between; one would notice upstreams that
 * are used long after they left, or callers refused by a configuration of the past. So
 * after any interruption the collection is listed anew.
 *
 * @param <T> what the collection holds
 */
public final class FeedFollower<T> {

	private static final EventLog LOG = EventLog.of(FeedFollower.class);

	private final Feed<T> feed;

	private final FeedListener<T> listener;

	private final Timers timers;

	private final Executor loop;

	private final Duration wait;

	private final StoreHealth health;

	private final Supplier<Duration> gathering;

	private int failures;

	private boolean stopped;

	/** Ends the pause in which changes gather, or empty while there is none. */
	private Optional<Runnable> pauseEnd = Optional.empty();

	private FeedFollower(Feed<T> feed, FeedListener<T> listener, Timers timers, Executor loop, Duration wait,
			StoreHealth health, Supplier<Duration> gathering) {
		this.feed = Objects.requireNonNull(feed, "feed is null");
		this.listener = Objects.requireNonNull(listener, "listener is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.wait = Objects.requireNonNull(wait, "wait is null");
		this.health = Objects.requireNonNull(health, "health is null");
		this.gathering = Objects.requireNonNull(gathering, "gathering is null");
	}

	/**
	 * Begins to follow a collection.
	 * @param <T> what the collection holds
	 * @param feed the collection
	 * @param listener takes what it holds
	 * @param timers runs tasks later, on the event loop
	 * @param loop the event loop
	 * @param wait how long one call waits for changes
	 * @param health learns whether the platform answers
	 * @param gathering gives the pause after changes, in which the next ones gather to be
	 * taken by one call; zero for none
	 * @return the follower
	 */
	public static <T> FeedFollower<T> start(Feed<T> feed, FeedListener<T> listener, Timers timers, Executor loop,
			Duration wait, StoreHealth health, Supplier<Duration> gathering) {
		FeedFollower<T> follower = new FeedFollower<>(feed, listener, timers, loop, wait, health, gathering);
		loop.execute(follower::list);
		return follower;
	}

	/**
	 * Ends the following.
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
				failed(failure);
				return;
			}
			answered();
			LOG.info("feed_listed", "feed", this.feed.name(), "entries", all.changes().size(), "version",
					all.version());
			this.listener.listed(all.changes());
			watch(all.version());
		}, this.loop);
	}

	private void watch(long version) {
		if (this.stopped) {
			return;
		}
		this.feed.changes(version, this.wait).whenCompleteAsync((changes, failure) -> {
			if (failure != null) {
				failed(failure);
				return;
			}
			answered();
			if (changes.isEmpty()) {
				LOG.info("feed_history_lost", "feed", this.feed.name(), "version", version);
				list();
				return;
			}
			changes.get().changes().forEach(this.listener::changed);
			watchOn(changes.get());
		}, this.loop);
	}

	private void watchOn(Changes<T> seen) {
		Duration pause = seen.changes().isEmpty() ? Duration.ZERO : this.gathering.get();
		if (pause.isZero()) {
			watch(seen.version());
		}
		else {
			Runnable end = () -> endPause(seen.version());
			Timers.Timer timer = this.timers.schedule(pause, end);
			this.pauseEnd = Optional.of(() -> {
				timer.cancel();
				end.run();
			});
		}
	}

	private void endPause(long version) {
		this.pauseEnd = Optional.empty();
		watch(version);
	}

	/**
	 * Learns that there is a change that is not to wait for others: the pause in which
	 * changes gather is over.
	 */
	public void pollNow() {
		this.pauseEnd.ifPresent(Runnable::run);
	}

	private void answered() {
		this.failures = 0;
		this.health.answered();
	}

	private void failed(Throwable failure) {
		this.failures++;
		this.health.failed();
		LOG.warning("feed_interrupted", "feed", this.feed.name(), "failures", this.failures, "error",
				Failures.root(failure));
		this.timers.schedule(pause(), this::list);
	}

	/**
	 * The pause before the next try: short after a cut, so that changes are seen in time,
	 * and at most some hundred milliseconds, since an outage is to be noticed to end.
	 * @return the pause
	 */
	private Duration pause() {
		return Duration.ofMillis(Math.min(400, 50L << Math.min(3, this.failures - 1)));
	}

}
