package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.Changes;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.feed.FeedFollower;
import org.ragworthook.gateway.feed.FeedListener;
import org.ragworthook.gateway.feed.StoreHealth;
import org.ragworthook.wire.load.FeedVersion;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * What processes report to each other of the changes that they have received.
 */
class FeedVersionReportsTests {

	/** The time after which a process has listed a collection whose change is overdue. */
	private static final Duration OVERDUE = Duration.ofSeconds(1);

	private final ManualTime time = ManualTime.of();

	private final Process sender = new Process();

	private final Process receiver = new Process();

	private LoadReport report(Process process) {
		LoadReport.Builder report = LoadReport.newBuilder();
		process.reports.writeToAll(report);
		return report.build();
	}

	/**
	 * Guards against a process that applies an old configuration while its watch is lost.
	 */
	@Test
	void shouldListAFeedWhoseChangeOnlyThePeerHasReceived() {
		this.sender.feed.change(7);
		assertThat(this.sender.reports.hasChanges()).isTrue();
		this.receiver.reports.read(report(this.sender));
		this.receiver.feed.version = 7;
		this.time.advance(OVERDUE);
		assertThat(this.receiver.feed.lists).isEqualTo(2);
	}

	/**
	 * Guards against a listing by every process for every change.
	 */
	@Test
	void shouldNotListAFeedWhoseWatchDelivers() {
		this.sender.feed.change(7);
		this.receiver.reports.read(report(this.sender));
		this.receiver.feed.change(7);
		this.time.advance(OVERDUE);
		assertThat(this.receiver.feed.lists).isEqualTo(1);
	}

	/**
	 * Guards against reports that fill the links: a change is in a few of them, and in
	 * three a second from then on, however many are sent.
	 */
	@Test
	void shouldRepeatAChangeAFewTimes() {
		this.sender.feed.change(7);
		int repeats = 0;
		for (int millis = 0; millis < 2_000; millis += 10) {
			repeats += report(this.sender).getFeedVersionsCount();
			this.time.advance(Duration.ofMillis(10));
		}
		assertThat(repeats).isAtLeast(7);
		assertThat(repeats).isAtMost(10);
		assertThat(this.sender.reports.hasChanges()).isFalse();
	}

	/**
	 * Guards against a process that never hears of a change, since it was not heard while
	 * the change was new: it was starting, or datagrams were lost.
	 */
	@Test
	void shouldListAFeedWhoseChangeWasReportedLongAgo() {
		this.sender.feed.change(7);
		this.receiver.feed.version = 7;
		for (int i = 0; i < 100; i++) {
			report(this.sender);
			this.time.advance(Duration.ofMillis(100));
		}
		assertThat(this.receiver.feed.lists).isEqualTo(1);
		this.time.advance(FeedVersionReports.STATEMENT_INTERVAL);
		this.receiver.reports.read(report(this.sender));
		this.time.advance(Duration.ofMillis(200));
		assertThat(this.receiver.feed.lists).isEqualTo(2);
	}

	/**
	 * Guards against peers that list upstreams right after an outage, before the entries
	 * that expired in it are back.
	 */
	@Test
	void shouldReportNothingOfExpiringEntriesUntilTheyAreListedAgainAfterAnOutage() {
		this.sender.reports.addExpiring(this.sender.follower);
		endOutage();
		assertThat(report(this.sender).getFeedVersionsList()).isEmpty();
		this.time.advance(Duration.ofSeconds(2));
		assertThat(report(this.sender).getFeedVersionsList())
			.containsExactly(FeedVersion.newBuilder().setFeed("names").setVersion(7).setAgeMillis(1_000).build());
	}

	/**
	 * Guards against a configuration that the peers of the only process with a sound
	 * watch do not hear of within the 2 s in which it has to be in force.
	 */
	@Test
	void shouldReportEntriesThatDoNotExpireRightAfterAnOutage() {
		endOutage();
		assertThat(report(this.sender).getFeedVersionsList())
			.containsExactly(FeedVersion.newBuilder().setFeed("names").setVersion(7).build());
	}

	private void endOutage() {
		this.time.advance(Duration.ofSeconds(10));
		this.sender.health.recordUnanswered(this.time.nanos());
		this.sender.feed.change(7);
	}

	/**
	 * Guards against a removal that a lost watch does not deliver. It need not have a
	 * version that a peer could report.
	 */
	@Test
	void shouldListAFeedOfWhichThePeerThatChecksHasOtherEntries() {
		this.sender.feed.entries = 1;
		this.sender.follower.check();
		this.receiver.feed.entries = 2;
		this.receiver.follower.check();
		this.receiver.feed.entries = 1;
		int listsBefore = this.receiver.feed.lists;
		for (int millis = 0; millis < 4_000; millis += 100) {
			this.receiver.reports.read(report(this.sender));
			this.time.advance(Duration.ofMillis(100));
			if (millis % 600 == 0) {
				this.sender.follower.check();
			}
			if (millis == 1_200) {
				assertThat(this.receiver.feed.lists - listsBefore).isEqualTo(1);
			}
		}
		assertThat(this.receiver.feed.lists - listsBefore).isEqualTo(1);
	}

	/**
	 * A process of another version may follow collections that this one does not.
	 */
	@Test
	void shouldIgnoreFeedsThatItDoesNotFollow() {
		this.receiver.reports.read(LoadReport.newBuilder()
			.addFeedVersions(FeedVersion.newBuilder().setFeed("others").setVersion(9))
			.build());
		this.time.advance(OVERDUE);
		assertThat(this.receiver.feed.lists).isEqualTo(1);
	}

	private final class Process {

		private final StoreHealth health = StoreHealth.of(FeedVersionReportsTests.this.time);

		private final WatchedFeed feed = new WatchedFeed();

		private final FeedVersionReports reports = new FeedVersionReports(this.health,
				FeedVersionReportsTests.this.time);

		private final FeedFollower<String> follower;

		Process() {
			this.follower = FeedFollower.builder(this.feed, new Ignoring())
				.ticker(FeedVersionReportsTests.this.time)
				.timers(FeedVersionReportsTests.this.time)
				.loop(Runnable::run)
				.random(new Random(7))
				.maxWait(Duration.ofSeconds(16))
				.health(this.health)
				.checkable(true)
				.start();
			this.reports.add(this.follower);
		}

	}

	private static final class Ignoring implements FeedListener<String> {

		@Override
		public void listed(List<Change<String>> all) {
		}

		@Override
		public void changed(Change<String> change) {
		}

	}

	private static final class WatchedFeed implements Feed<String> {

		private final List<CompletableFuture<Optional<Changes<String>>>> watches = new ArrayList<>();

		private long version = 1;

		private int lists;

		private int entries;

		void change(long next) {
			this.version = next;
			this.watches.remove(this.watches.size() - 1)
				.complete(Optional.of(new Changes<>(List.of(new Change<>("a", Optional.of("a"), next)), next)));
		}

		@Override
		public String name() {
			return "names";
		}

		@Override
		public CompletableFuture<Changes<String>> list() {
			this.lists++;
			List<Change<String>> listed = IntStream.range(0, this.entries)
				.mapToObj((i) -> new Change<>("z" + i, Optional.of("z"), 1))
				.toList();
			return CompletableFuture.completedFuture(new Changes<>(listed, this.version));
		}

		@Override
		public CompletableFuture<Optional<Changes<String>>> changes(long after, Duration maxWait) {
			CompletableFuture<Optional<Changes<String>>> watch = new CompletableFuture<>();
			this.watches.add(watch);
			return watch;
		}

	}

}
