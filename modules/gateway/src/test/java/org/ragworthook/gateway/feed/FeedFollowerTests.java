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

class FeedFollowerTests {

	private static final Duration WAIT = Duration.ofSeconds(25);

	private final ManualTime time = ManualTime.of();

	private final Collection collection = new Collection();

	private static final CoalescingDelay RULE = CoalescingDelay.forDrainNotice(Duration.ofSeconds(2));

	private final List<String> seen = new ArrayList<>();

	/**
	 * All upstreams of a fleet register within three seconds of a common start, and every
	 * process watches them. When each watch is taken up again at once, each registration
	 * is a call by each process: the store turns calls away, and the processes that start
	 * last wait for their first configuration.
	 * @param processes how many processes watch
	 * @param mostCalls how many calls one of them may make
	 */
	@ParameterizedTest
	@CsvSource({ "1, 61", "11, 13", "45, 6", "300, 6" })
	void shouldTakeManyChangesWithFewCalls(int processes, int mostCalls) {
		follow(processes);
		int before = this.collection.calls;
		for (int i = 0; i < 60; i++) {
			this.collection.change("u" + i);
			this.time.advance(Duration.ofMillis(50));
		}
		this.time.advance(RULE.max());
		assertThat(this.seen).hasSize(60);
		assertThat(this.collection.calls - before).isAtMost(mostCalls);
	}

	/**
	 * One upstream of a large fleet drains, and nothing else changes. Requests that are
	 * sent there after its time to drain are lost, so this is not to wait for others.
	 */
	@Test
	void shouldSeeALoneChangeAtOnce() {
		follow(300);
		this.collection.change("drains");
		assertThat(this.seen).containsExactly("drains");
	}

	/**
	 * A change comes right after another one, while the watch gathers: it is seen when
	 * the pause is over, well within the two seconds in which it has to be known.
	 */
	@Test
	void shouldSeeTheNextChangeWithinTheLongestPause() {
		follow(300);
		this.collection.change("first");
		this.collection.change("second");
		this.time.advance(RULE.max());
		assertThat(this.seen).containsExactly("first", "second").inOrder();
	}

	/**
	 * Every process that runs jobs watches them, and each job is run by one. Looked at by
	 * all at once, each new job was as many calls as there are such processes.
	 * @param runners how many processes run jobs
	 * @param mostCalls how many calls one of them may make for 30 jobs in 18 seconds
	 */
	@ParameterizedTest
	@CsvSource({ "1, 31", "4, 31", "15, 13", "300, 13" })
	void shouldLookForJobsSeldomInALargeFleet(int runners, int mostCalls) {
		follow(() -> CoalescingDelay.forJobs(runners));
		int before = this.collection.calls;
		for (int i = 0; i < 30; i++) {
			this.collection.change("job" + i);
			this.time.advance(Duration.ofMillis(600));
		}
		this.time.advance(CoalescingDelay.MOST_JOBS);
		assertThat(this.seen).hasSize(30);
		assertThat(this.collection.calls - before).isAtMost(mostCalls);
	}

	/**
	 * A job is accepted while its owner lets jobs gather. The entry that accepted it
	 * tells the owner, and its items need not wait.
	 */
	@Test
	void shouldLookAtOnceWhenToldOfAJob() {
		FeedFollower<String> follower = follow(300);
		this.collection.change("first");
		this.collection.change("second");
		assertThat(this.seen).containsExactly("first");
		follower.pollNow();
		assertThat(this.seen).containsExactly("first", "second").inOrder();
		follower.pollNow();
		this.time.advance(RULE.max());
		this.collection.change("third");
		assertThat(this.seen).containsExactly("first", "second", "third").inOrder();
	}

	private FeedFollower<String> follow(int processes) {
		return follow(() -> RULE.forProcesses(processes));
	}

	private FeedFollower<String> follow(Supplier<Duration> gathering) {
		return FeedFollower.start(this.collection, new Listener(), this.time, Runnable::run, WAIT,
				StoreHealth.of(this.time), gathering);
	}

	private final class Listener implements FeedListener<String> {

		@Override
		public void listed(List<Change<String>> all) {
			all.forEach(this::changed);
		}

		@Override
		public void changed(Change<String> change) {
			FeedFollowerTests.this.seen.add(change.name());
		}

	}

	/**
	 * A collection with one watch, which answers as soon as there is a change.
	 */
	private static final class Collection implements Feed<String> {

		private final TreeMap<Long, String> changes = new TreeMap<>();

		private CompletableFuture<Optional<Changes<String>>> waiting;

		private long waitingAfter;

		private int calls;

		void change(String name) {
			this.changes.put(this.changes.size() + 1L, name);
			answer();
		}

		private void answer() {
			if (this.waiting == null || this.changes.tailMap(this.waitingAfter, false).isEmpty()) {
				return;
			}
			List<Change<String>> news = this.changes.tailMap(this.waitingAfter, false)
				.values()
				.stream()
				.map((name) -> new Change<>(name, Optional.of(name)))
				.toList();
			CompletableFuture<Optional<Changes<String>>> answered = this.waiting;
			this.waiting = null;
			answered.complete(Optional.of(new Changes<>(news, this.changes.lastKey())));
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
			CompletableFuture<Optional<Changes<String>>> waits = new CompletableFuture<>();
			this.waiting = waits;
			this.waitingAfter = after;
			answer();
			return waits;
		}

	}

}
