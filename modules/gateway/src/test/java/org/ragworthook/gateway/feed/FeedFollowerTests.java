package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * When changes of a collection are delivered, and how many calls that takes.
 */
class FeedFollowerTests {

	private static final Duration WAIT = Duration.ofSeconds(25);

	private final ManualTime time = ManualTime.of();

	private final Collection collection = new Collection();

	private static final CoalescingDelay DELAY = CoalescingDelay.forDrainNotice(Duration.ofSeconds(2));

	private final List<String> delivered = new ArrayList<>();

	private int listings;

	/** The beginning of the names of the changes on which the listener fails. */
	private String failsOn = "bad";

	private Throwable failure = new IllegalStateException("bad");

	private final StoreHealth health = StoreHealth.of(this.time);

	/**
	 * All upstreams of a fleet register within three seconds of a common start, and every
	 * process watches them. Without a delay each registration is a call by each process:
	 * the store rejects calls, and the processes that start last wait for their first
	 * configuration.
	 * @param processes how many processes watch
	 * @param maxCalls how many calls one of them may make
	 */
	@ParameterizedTest
	@CsvSource({ "1, 61", "11, 13", "45, 6", "300, 6" })
	void shouldCoalesceManyChangesIntoFewCalls(int processes, int maxCalls) {
		follow(processes);
		int callsBefore = this.collection.calls;
		for (int i = 0; i < 60; i++) {
			this.collection.change("u" + i);
			this.time.advance(Duration.ofMillis(50));
		}
		this.time.advance(DELAY.max());
		assertThat(this.delivered).hasSize(60);
		assertThat(this.collection.calls - callsBefore).isAtMost(maxCalls);
	}

	/**
	 * One upstream of a large fleet drains, and nothing else changes. Requests that are
	 * sent to it after its drain notice are lost, so the change must not wait for others.
	 */
	@Test
	void shouldDeliverASingleChangeAtOnce() {
		follow(300);
		this.collection.change("drains");
		assertThat(this.delivered).containsExactly("drains");
	}

	/**
	 * A change follows right after another one, during the coalescing delay. It is
	 * delivered at the end of the delay, well within the two seconds in which it has to
	 * be known.
	 */
	@Test
	void shouldDeliverTheNextChangeWithinTheMaximumDelay() {
		follow(300);
		this.collection.change("first");
		this.collection.change("second");
		this.time.advance(DELAY.max());
		assertThat(this.delivered).containsExactly("first", "second").inOrder();
	}

	/**
	 * Every process that runs jobs watches them, and each job is run by one of them.
	 * Without a delay each new job would be a call by every such process.
	 * @param runners how many processes run jobs
	 * @param maxCalls how many calls one of them may make for 30 jobs in 18 seconds
	 */
	@ParameterizedTest
	@CsvSource({ "1, 31", "4, 31", "15, 13", "300, 13" })
	void shouldPollForJobsLessOftenInALargeFleet(int runners, int maxCalls) {
		follow(() -> CoalescingDelay.forJobs(runners));
		int callsBefore = this.collection.calls;
		for (int i = 0; i < 30; i++) {
			this.collection.change("job" + i);
			this.time.advance(Duration.ofMillis(600));
		}
		this.time.advance(CoalescingDelay.MAX_JOB_DELAY);
		assertThat(this.delivered).hasSize(30);
		assertThat(this.collection.calls - callsBefore).isAtMost(maxCalls);
	}

	/**
	 * A job is accepted during the coalescing delay of its owner. The entry that accepted
	 * it notifies the owner, so that its items need not wait.
	 */
	@Test
	void shouldPollAtOnceOnRequest() {
		FeedFollower<String> follower = follow(300);
		this.collection.change("first");
		this.collection.change("second");
		assertThat(this.delivered).containsExactly("first");
		follower.pollNow();
		assertThat(this.delivered).containsExactly("first", "second").inOrder();
		follower.pollNow();
		this.time.advance(DELAY.max());
		this.collection.change("third");
		assertThat(this.delivered).containsExactly("first", "second", "third").inOrder();
	}

	/**
	 * Guards against a process that hears of no later change after its listener has
	 * failed once, such as of no further job. An error must not end it either.
	 * @param error whether the listener fails with an error
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldFollowAfterAFailureOfTheListener(boolean error) {
		this.failure = error ? new StackOverflowError() : new IllegalStateException("bad");
		this.collection.listsContent = true;
		this.collection.change("bad in the listing");
		follow(1);
		this.collection.change("bad");
		this.collection.change("good");
		this.time.advance(DELAY.max());
		assertThat(this.delivered).containsExactly("good");
	}

	/**
	 * Guards against a change that is lost for good because the listener has failed once
	 * while it was delivered.
	 */
	@Test
	void shouldListAgainAfterAFailureOfTheListener() {
		this.collection.listsContent = true;
		follow(1);
		this.collection.change("bad");
		this.failsOn = "nothing";
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.delivered).containsExactly("bad");
	}

	/**
	 * Guards against calls of the store at short intervals for as long as a listener
	 * fails on each listing.
	 */
	@Test
	void shouldListSeldomWhileTheListenerFails() {
		this.collection.listsContent = true;
		follow(1);
		this.collection.change("bad");
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.listings).isAtMost(9);
	}

	/**
	 * Guards against a collection that is not followed any more, since a call or a
	 * callback has thrown and the future has kept the failure.
	 * @param place what throws once
	 */
	@ParameterizedTest
	@ValueSource(strings = { "list", "changes", "delay" })
	void shouldFollowAfterAnErrorInACall(String place) {
		this.collection.listsContent = true;
		this.collection.throwsIn = place;
		follow(() -> {
			this.collection.throwOnce("delay");
			return Duration.ZERO;
		});
		this.collection.change("a");
		this.time.advance(Duration.ofSeconds(1));
		this.collection.change("b");
		assertThat(this.delivered).contains("a");
		assertThat(this.delivered).contains("b");
	}

	/**
	 * Guards against a listing that takes the time limit of a response since it was sent
	 * on a connection that has gone silent.
	 */
	@Test
	void shouldListOnAnotherConnectionOnceAnAnswerIsOverdue() {
		List<String> evicted = new ArrayList<>();
		this.health.onOverdue(() -> {
			evicted.add("idle connections");
			this.collection.listing = Optional.empty();
		});
		startDoubtfulListing(new CompletableFuture<>());
		this.collection.changeSilently("a");
		this.time.advance(HedgedListing.HEDGE_DELAY);
		assertThat(this.delivered).contains("a");
		assertThat(evicted).hasSize(1);
	}

	private void startDoubtfulListing(CompletableFuture<Changes<String>> answer) {
		this.collection.listsContent = true;
		this.collection.change("first");
		follow(1);
		this.collection.listing = Optional.of(answer);
		this.health.recordUnanswered(0);
	}

	/**
	 * Guards against an older state that comes back when the answers to two calls of one
	 * listing arrive in reverse order.
	 */
	@Test
	void shouldDropTheLaterOfTwoAnswersToAListing() {
		CompletableFuture<Changes<String>> late = new CompletableFuture<>();
		this.health.onOverdue(() -> this.collection.listing = Optional.empty());
		startDoubtfulListing(late);
		Changes<String> old = this.collection.content();
		this.collection.changeSilently("a");
		this.time.advance(HedgedListing.HEDGE_DELAY);
		late.complete(old);
		assertThat(this.listings).isEqualTo(2);
		assertThat(this.delivered).containsExactly("first", "first", "a").inOrder();
		this.collection.change("b");
		assertThat(this.delivered).contains("b");
	}

	/**
	 * Guards against a change that is lost for 0.7 s more since a listing from before it
	 * was answered after the report of the change.
	 */
	@Test
	void shouldListAgainAfterAListingFromBeforeAReportedChange() {
		this.collection.listsContent = true;
		CompletableFuture<Changes<String>> late = new CompletableFuture<>();
		this.collection.listing = Optional.of(late);
		FeedFollower<String> follower = follow(1);
		Changes<String> old = this.collection.content();
		this.collection.changeSilently("a");
		follower.expectVersion(1, Duration.ofSeconds(1));
		this.collection.listing = Optional.empty();
		late.complete(old);
		assertThat(this.delivered).containsExactly("a");
	}

	/**
	 * Guards against a process that waits as long for its watch as if the change had been
	 * made when it was reported, although the sender has had it for long.
	 */
	@Test
	void shouldListAtOnceIfThePeerHasHadTheChangeForLong() {
		this.collection.listsContent = true;
		FeedFollower<String> follower = follow(1);
		loseChange("a");
		follower.expectVersion(1, FeedFollower.MAX_DELIVERY_LAG);
		this.time.advance(FeedFollower.MAX_SPREAD);
		assertThat(this.delivered).containsExactly("a");
	}

	/**
	 * Guards against a change that was made while the store dropped its history: a watch
	 * that was open then states a higher version and never delivers the change.
	 */
	@Test
	void shouldListAgainIfTheWatchHasPassedAReportedChange() {
		this.collection.listsContent = true;
		FeedFollower<String> follower = follow(1);
		this.collection.changeSilently("a");
		this.collection.endWatchWithoutChanges();
		follower.expectVersion(1, Duration.ZERO);
		this.time.advance(FeedFollower.MAX_DELIVERY_LAG.plus(FeedFollower.MAX_SPREAD));
		assertThat(this.delivered).containsExactly("a");
	}

	/**
	 * Guards against a change that no process hears of, because all connections have gone
	 * silent or the store has dropped its history.
	 */
	@Test
	void shouldDeliverAChangeThatOnlyACheckShows() {
		this.collection.listsContent = true;
		this.collection.change("first");
		FeedFollower<String> follower = follow(1);
		this.collection.changeSilently("a");
		follower.check();
		assertThat(this.delivered).containsExactly("first", "first", "a").inOrder();
		assertThat(follower.newestChange()).isEqualTo(2);
		assertThat(follower.newestChangeAge()).isAtLeast(FeedFollower.MAX_DELIVERY_LAG);
		assertThat(follower.verifiedEntries()).isEqualTo(OptionalInt.of(2));
		this.collection.change("b");
		assertThat(this.delivered).contains("b");
	}

	/**
	 * Guards against a removal that the peers do not hear of: a listing does not state
	 * its version.
	 */
	@Test
	void shouldStateTheVersionOfAListingWithoutAnEntry() {
		this.collection.listsContent = true;
		this.collection.change("a");
		FeedFollower<String> follower = follow(1);
		this.collection.removeSilently(1, 5);
		follower.check();
		assertThat(follower.newestChange()).isEqualTo(5);
		assertThat(this.listings).isEqualTo(2);
	}

	/**
	 * Guards against additional watches and deliveries: a check is one call while all is
	 * well.
	 */
	@Test
	void shouldMakeOneCallForACheckWithoutADifference() {
		this.collection.listsContent = true;
		this.collection.change("a");
		FeedFollower<String> follower = follow(1);
		int callsBefore = this.collection.calls;
		for (int i = 0; i < 10; i++) {
			follower.check();
			this.time.advance(FeedChecks.INTERVAL);
		}
		assertThat(this.collection.calls - callsBefore).isEqualTo(10);
		assertThat(this.listings).isEqualTo(1);
	}

	/**
	 * Guards against an older state that a check brings back after the watch has
	 * delivered a newer one.
	 */
	@Test
	void shouldDropACheckThatTheWatchHasOvertaken() {
		this.collection.listsContent = true;
		this.collection.change("first");
		FeedFollower<String> follower = follow(1);
		CompletableFuture<Changes<String>> late = new CompletableFuture<>();
		this.collection.listing = Optional.of(late);
		follower.check();
		Changes<String> old = this.collection.content();
		this.collection.change("a");
		late.complete(old);
		assertThat(this.listings).isEqualTo(1);
		assertThat(this.delivered).containsExactly("first", "a").inOrder();
	}

	/**
	 * Guards against a fleet without checks: a process whose checks all fail at once goes
	 * on to check for all while its watch is open and the store counts as up.
	 */
	@Test
	void shouldCountTheStoreAsLostIfAFailedCheckIsFollowedByAFailedListing() {
		this.collection.listsContent = true;
		this.collection.change("first");
		FeedFollower<String> follower = follow(1);
		this.collection.listing = Optional.of(CompletableFuture.failedFuture(new IllegalStateException("refused")));
		follower.check();
		this.time.advance(FeedChecks.INTERVAL);
		follower.check();
		assertThat(this.health.up()).isFalse();
		this.collection.listing = Optional.empty();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.health.up()).isTrue();
	}

	/**
	 * Guards against a reported change that is never delivered: the watch, which has
	 * passed it, ends without changes while the collection is listed because of the
	 * report, and later reports of the same version are ignored.
	 */
	@Test
	void shouldListAgainIfAWatchWithoutAReportedChangeEndsDuringTheListing() {
		this.collection.listsContent = true;
		FeedFollower<String> follower = follow(1);
		this.collection.changeSilently("a");
		this.collection.listing = Optional.of(new CompletableFuture<>());
		follower.expectVersion(1, Duration.ZERO);
		this.time.advance(FeedFollower.MAX_DELIVERY_LAG.plus(FeedFollower.MAX_SPREAD));
		this.collection.listing = Optional.empty();
		this.collection.endWatchWithoutChanges();
		for (int report = 0; report < 10; report++) {
			follower.expectVersion(1, Duration.ofSeconds(1));
			this.time.advance(Duration.ofMillis(350));
		}
		assertThat(this.delivered).containsExactly("a");
	}

	/**
	 * Guards against a process that ignores the reports of all later changes after one
	 * report of a version that the store does not have, and against listings without end
	 * while peers repeat such reports.
	 */
	@Test
	void shouldExpectChangesAfterAReportOfAVersionThatTheStoreDoesNotHave() {
		this.collection.listsContent = true;
		this.collection.change("first");
		FeedFollower<String> follower = follow(1);
		int callsBefore = this.collection.calls;
		for (int report = 0; report < 20; report++) {
			follower.expectVersion(Long.MAX_VALUE, Duration.ZERO);
			follower.expectVersion(Long.MAX_VALUE - 1, Duration.ZERO);
			this.time.advance(Duration.ofMillis(350));
		}
		assertThat(this.collection.calls - callsBefore).isAtMost(4);
		this.collection.loseWatch();
		this.collection.changeSilently("a");
		follower.expectVersion(2, Duration.ZERO);
		this.time.advance(FeedFollower.MAX_DELIVERY_LAG.plus(FeedFollower.MAX_SPREAD));
		assertThat(this.delivered).contains("a");
	}

	/**
	 * Guards against two watches at a time after a check that finds changes during a
	 * coalescing delay.
	 */
	@Test
	void shouldKeepOneWatchAfterACheckDuringACoalescingDelay() {
		this.collection.listsContent = true;
		this.collection.change("zero");
		FeedFollower<String> follower = follow(300);
		this.collection.change("first");
		this.collection.change("second");
		follower.check();
		assertThat(this.delivered).contains("second");
		assertThat(follower.newestChangeAge()).isEqualTo(Duration.ZERO);
		int callsBefore = this.collection.calls;
		this.time.advance(DELAY.max());
		assertThat(this.collection.calls).isEqualTo(callsBefore);
	}

	/**
	 * Guards against changes that are missed for as long as a watch may wait, because its
	 * response is lost and its connection stays open.
	 */
	@Test
	void shouldListAgainOnceACallOfAnotherKindIsUnanswered() {
		this.collection.listsContent = true;
		follow(1);
		loseChange("a");
		this.time.advance(Duration.ofMillis(1_500));
		this.health.recordUnanswered(0);
		assertThat(this.delivered).containsExactly("a");
		this.collection.change("b");
		assertThat(this.delivered).containsExactly("a", "b").inOrder();
	}

	/**
	 * Guards against further listings for calls that were sent before the collection was
	 * listed anew.
	 */
	@Test
	void shouldListOnceForAllCallsThatWereSentBefore() {
		follow(1);
		this.time.advance(Duration.ofMillis(1_500));
		int callsBefore = this.collection.calls;
		for (int sentMillis = 0; sentMillis < 100; sentMillis += 10) {
			this.health.recordUnanswered(Duration.ofMillis(sentMillis).toNanos());
			this.time.advance(Duration.ofMillis(10));
		}
		assertThat(this.collection.calls - callsBefore).isEqualTo(2);
	}

	/**
	 * Guards against an entry without other calls to the store that applies an old
	 * configuration although its peers have received the new one.
	 */
	@Test
	void shouldListAgainIfAPeerHasReceivedAnOverdueChange() {
		this.collection.listsContent = true;
		FeedFollower<String> follower = follow(1);
		loseChange("a");
		follower.expectVersion(1, Duration.ZERO);
		this.time.advance(FeedFollower.MAX_DELIVERY_LAG.plus(FeedFollower.MAX_SPREAD));
		assertThat(this.delivered).containsExactly("a");
		assertThat(follower.newestChange()).isEqualTo(1);
	}

	/**
	 * Guards against a job that goes on after its caller has ended it, since the owner's
	 * watch is lost.
	 */
	@Test
	void shouldListAgainIfAnAnnouncedChangeIsOverdue() {
		this.collection.listsContent = true;
		FeedFollower<String> follower = follow(1);
		loseChange("ended");
		follower.expectChange(() -> this.delivered.contains("ended"));
		this.time.advance(FeedFollower.MAX_DELIVERY_LAG.plus(FeedFollower.MAX_SPREAD));
		assertThat(this.delivered).containsExactly("ended");
	}

	/**
	 * Guards against additional calls to the store while all watches deliver, also during
	 * a coalescing delay, and for a change that never comes.
	 */
	@Test
	void shouldMakeNoFurtherCallsWhileTheWatchDelivers() {
		this.collection.listsContent = true;
		FeedFollower<String> follower = follow(300);
		int callsBefore = this.collection.calls;
		for (int version = 1; version <= 20; version++) {
			follower.expectVersion(version, Duration.ZERO);
			this.collection.change("c" + version);
			follower.expectVersion(version, Duration.ZERO);
			this.time.advance(Duration.ofSeconds(2));
		}
		assertThat(this.delivered).hasSize(20);
		assertThat(this.collection.calls - callsBefore).isEqualTo(20);
		follower.expectChange(() -> false);
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.collection.calls - callsBefore).isEqualTo(22);
	}

	/**
	 * Guards against an older state that a late listing brings back after the watch has
	 * delivered a newer one.
	 */
	@Test
	void shouldDropAListingThatTheWatchHasOvertaken() {
		CompletableFuture<Changes<String>> late = new CompletableFuture<>();
		follow(1);
		this.collection.listing = Optional.of(late);
		this.health.recordUnanswered(0);
		Changes<String> old = this.collection.content();
		this.collection.change("a");
		late.complete(old);
		assertThat(this.delivered).containsExactly("a");
		assertThat(this.listings).isEqualTo(1);
		this.collection.change("b");
		assertThat(this.delivered).containsExactly("a", "b").inOrder();
	}

	/**
	 * Guards against a watch that works and is given up while the store answers no
	 * listing.
	 */
	@Test
	void shouldUseTheOpenWatchWhileListingsFail() {
		follow(1);
		this.collection.listing = Optional.of(CompletableFuture.failedFuture(new IllegalStateException("no answer")));
		this.health.recordUnanswered(0);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.health.up()).isFalse();
		this.collection.change("a");
		assertThat(this.delivered).containsExactly("a");
		assertThat(this.health.up()).isTrue();
	}

	/**
	 * Guards against a cut watch that counts as an outage although the listing after it
	 * is answered.
	 */
	@Test
	void shouldKeepTheStoreUpWhileOnlyWatchesAreCutOff() {
		follow(1);
		for (int cut = 0; cut < 5; cut++) {
			this.time.advance(Duration.ofMillis(1_500));
			this.collection.cutWatch();
			assertThat(this.health.up()).isTrue();
			this.time.advance(Duration.ofMillis(50));
		}
		assertThat(this.listings).isEqualTo(6);
		assertThat(this.health.upFor()).isGreaterThan(Duration.ofMinutes(1));
	}

	/**
	 * Guards against an outage that counts as shorter than it is because it began with a
	 * cut watch.
	 */
	@Test
	void shouldCountAnOutageFromTheCutOfTheWatch() {
		follow(1);
		this.time.advance(Duration.ofSeconds(1));
		this.collection.listing = Optional.of(CompletableFuture.failedFuture(new IllegalStateException("refused")));
		this.collection.cutWatch();
		this.time.advance(Duration.ofMillis(1_500));
		assertThat(this.health.downFor()).isEqualTo(Duration.ofMillis(1_500));
	}

	private void loseChange(String name) {
		this.collection.loseWatch();
		this.collection.change(name);
		assertThat(this.delivered).isEmpty();
	}

	private FeedFollower<String> follow(int processes) {
		return follow(() -> DELAY.forProcesses(processes));
	}

	private FeedFollower<String> follow(Supplier<Duration> coalescingDelay) {
		return FeedFollower.builder(this.collection, new Listener())
			.ticker(this.time)
			.timers(this.time)
			.loop(Runnable::run)
			.random(new Random(7))
			.maxWait(WAIT)
			.health(this.health)
			.coalescingDelay(coalescingDelay)
			.checkable(true)
			.start();
	}

	@SuppressWarnings("unchecked")
	private static <E extends Throwable> void sneakyThrow(Throwable failure) throws E {
		throw (E) failure;
	}

	private final class Listener implements FeedListener<String> {

		@Override
		public void listed(List<Change<String>> all) {
			FeedFollowerTests.this.listings++;
			all.forEach(this::changed);
		}

		@Override
		public void changed(Change<String> change) {
			if (change.name().startsWith(FeedFollowerTests.this.failsOn)) {
				sneakyThrow(FeedFollowerTests.this.failure);
			}
			FeedFollowerTests.this.delivered.add(change.name());
		}

	}

	/**
	 * A collection with one watch, which answers as soon as there is a change.
	 */
	private static final class Collection implements Feed<String> {

		private final TreeMap<Long, String> changes = new TreeMap<>();

		private CompletableFuture<Optional<Changes<String>>> pendingPoll;

		private long pendingAfter;

		private int calls;

		/** Whether a listing returns the content; otherwise changes arrive by watch. */
		private boolean listsContent;

		/** The answer to listings, instead of one at once. */
		private Optional<CompletableFuture<Changes<String>>> listing = Optional.empty();

		/** The call that throws once, or an empty string. */
		private String throwsIn = "";

		/** The version of the last removal. */
		private long removedAt;

		void change(String name) {
			changeSilently(name);
			answer();
		}

		/**
		 * Makes a change that the watch that is waiting does not deliver.
		 * @param name the name of the change
		 */
		void changeSilently(String name) {
			this.changes.put(this.changes.size() + 1L, name);
		}

		/**
		 * Removes an entry, which the watch that is waiting does not deliver.
		 * @param version the version of the entry
		 * @param removalVersion the version that the removal creates
		 */
		void removeSilently(long version, long removalVersion) {
			this.changes.remove(version);
			this.removedAt = removalVersion;
		}

		/**
		 * Ends the watch that is waiting as if there were no changes.
		 */
		void endWatchWithoutChanges() {
			CompletableFuture<Optional<Changes<String>>> poll = this.pendingPoll;
			this.pendingPoll = null;
			poll.complete(Optional.of(new Changes<>(List.of(), this.changes.lastKey())));
		}

		/**
		 * Throws an error at the first call from one place.
		 * @param place the place of the call
		 */
		void throwOnce(String place) {
			if (this.throwsIn.equals(place)) {
				this.throwsIn = "";
				throw new StackOverflowError();
			}
		}

		private void answer() {
			if (this.pendingPoll == null || this.changes.tailMap(this.pendingAfter, false).isEmpty()) {
				return;
			}
			List<Change<String>> newer = this.changes.tailMap(this.pendingAfter, false)
				.entrySet()
				.stream()
				.map(Collection::change)
				.toList();
			CompletableFuture<Optional<Changes<String>>> poll = this.pendingPoll;
			this.pendingPoll = null;
			poll.complete(Optional.of(new Changes<>(newer, this.changes.lastKey())));
		}

		@Override
		public String name() {
			return "names";
		}

		private static Change<String> change(Map.Entry<Long, String> change) {
			return new Change<>(change.getValue(), Optional.of(change.getValue()), change.getKey());
		}

		/**
		 * Loses the response to the watch that is waiting.
		 */
		void loseWatch() {
			this.pendingPoll = null;
		}

		/**
		 * Cuts off the watch that is waiting.
		 */
		void cutWatch() {
			CompletableFuture<Optional<Changes<String>>> poll = this.pendingPoll;
			this.pendingPoll = null;
			poll.completeExceptionally(new IllegalStateException("cut off"));
		}

		/**
		 * Returns the content as it is now, for an answer that arrives later.
		 * @return the content
		 */
		Changes<String> content() {
			long version = Math.max(this.removedAt, this.changes.isEmpty() ? 0 : this.changes.lastKey());
			return new Changes<>(this.changes.entrySet().stream().map(Collection::change).toList(), version);
		}

		@Override
		public CompletableFuture<Changes<String>> list() {
			this.calls++;
			throwOnce("list");
			return this.listing.orElseGet(() -> CompletableFuture
				.completedFuture(this.listsContent ? content() : new Changes<>(List.of(), 0)));
		}

		@Override
		public CompletableFuture<Optional<Changes<String>>> changes(long after, Duration wait) {
			this.calls++;
			throwOnce("changes");
			CompletableFuture<Optional<Changes<String>>> poll = new CompletableFuture<>();
			this.pendingPoll = poll;
			this.pendingAfter = after;
			answer();
			return poll;
		}

	}

}
