package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
	 * failed once, such as of no further job.
	 */
	@Test
	void shouldFollowAfterAFailureOfTheListener() {
		this.collection.change("bad in the listing");
		follow(1);
		this.collection.change("bad");
		this.collection.change("good");
		this.time.advance(DELAY.max());
		assertThat(this.delivered).containsExactly("good");
	}

	private FeedFollower<String> follow(int processes) {
		return follow(() -> DELAY.forProcesses(processes));
	}

	private FeedFollower<String> follow(Supplier<Duration> coalescingDelay) {
		return FeedFollower.start(this.collection, new Listener(), this.time, Runnable::run, WAIT,
				StoreHealth.of(this.time), coalescingDelay);
	}

	private final class Listener implements FeedListener<String> {

		@Override
		public void listed(List<Change<String>> all) {
			all.forEach(this::changed);
		}

		@Override
		public void changed(Change<String> change) {
			if (change.name().startsWith("bad")) {
				throw new IllegalStateException(change.name());
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

		void change(String name) {
			this.changes.put(this.changes.size() + 1L, name);
			answer();
		}

		private void answer() {
			if (this.pendingPoll == null || this.changes.tailMap(this.pendingAfter, false).isEmpty()) {
				return;
			}
			List<Change<String>> newer = this.changes.tailMap(this.pendingAfter, false)
				.values()
				.stream()
				.map((name) -> new Change<>(name, Optional.of(name)))
				.toList();
			CompletableFuture<Optional<Changes<String>>> poll = this.pendingPoll;
			this.pendingPoll = null;
			poll.complete(Optional.of(new Changes<>(newer, this.changes.lastKey())));
		}

		@Override
		public String name() {
			return "names";
		}

		@Override
		public CompletableFuture<Changes<String>> list() {
			this.calls++;
			return CompletableFuture.completedFuture(new Changes<>(List.of(), 0));
		}

		@Override
		public CompletableFuture<Optional<Changes<String>>> changes(long after, Duration wait) {
			this.calls++;
			CompletableFuture<Optional<Changes<String>>> poll = new CompletableFuture<>();
			this.pendingPoll = poll;
			this.pendingAfter = after;
			answer();
			return poll;
		}

	}

}
