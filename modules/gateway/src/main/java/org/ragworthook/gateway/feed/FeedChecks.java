package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;

/**
 * Compares collections with what was received, at short intervals and at one process of
 * the fleet for each collection.
 * <p>
 * Open connections may go silent on all machines at once, and the platform may drop its
 * history without cutting a watch. Then no process hears of a change before the time
 * limit of its watch, far later than a change has to be in force. A listing shows both,
 * and the reports of the process that makes it tell the others ({@link FeedFollower}). A
 * short watch would cost as many calls and not show a history that was dropped.
 */
public final class FeedChecks {

	private static final EventLog LOG = EventLog.of(FeedChecks.class);

	/**
	 * Interval between checks. The sum of this interval, the time until a silent
	 * connection is noticed (300 ms), a report (100 ms), the spread of the peers'
	 * listings (200 ms) and the time until they notice a silent connection (300 ms) is
	 * 1.5 s, and a change has to be in force after 2 s.
	 */
	static final Duration INTERVAL = Duration.ofMillis(600);

	private final Timers timers;

	private final Predicate<String> checksHere;

	private final List<FeedFollower<?>> followers = new CopyOnWriteArrayList<>();

	private FeedChecks(Timers timers, Predicate<String> checksHere) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.checksHere = Objects.requireNonNull(checksHere, "checksHere is null");
	}

	/**
	 * Begins to check.
	 * @param timers runs tasks later, on the event loop
	 * @param checksHere returns whether this process checks the collection of a name
	 * @return the checks, for no collection yet
	 */
	public static FeedChecks start(Timers timers, Predicate<String> checksHere) {
		FeedChecks checks = new FeedChecks(timers, checksHere);
		timers.schedule(INTERVAL, checks::round);
		return checks;
	}

	/**
	 * Adds a collection.
	 * @param follower the follower of the collection, which keeps its entries
	 */
	public void add(FeedFollower<?> follower) {
		this.followers.add(Objects.requireNonNull(follower, "follower is null"));
	}

	/**
	 * Returns whether this process can check: a collection that was never listed is not
	 * checked.
	 * @return whether all collections were listed
	 */
	public boolean listed() {
		return !this.followers.isEmpty()
				&& this.followers.stream().allMatch((follower) -> follower.confirmationAge().isPresent());
	}

	private void round() {
		this.timers.schedule(INTERVAL, this::round);
		for (FeedFollower<?> follower : this.followers) {
			try {
				if (this.checksHere.test(follower.name())) {
					follower.check();
				}
			}
			catch (RuntimeException ex) {
				LOG.warning("feed_not_checked", "feed", follower.name(), "error", ex);
			}
		}
	}

}
