package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.Changes;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.feed.FeedChecks;
import org.ragworthook.gateway.feed.FeedFollower;
import org.ragworthook.gateway.feed.FeedListener;
import org.ragworthook.gateway.feed.StoreHealth;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * How soon a change is in force at all processes of a fleet that has lost its watches.
 */
class LostWatchSimulationTests {

	/** The time in which a change has to be in force everywhere. */
	private static final Duration BOUND = Duration.ofSeconds(2);

	private final ManualTime time = ManualTime.of();

	private final Store store = new Store();

	private final List<Process> fleet = new ArrayList<>();

	private int calls;

	/**
	 * Guards against an old configuration that is applied for 17.5 s, since all open
	 * connections go silent at once and only the time limit of a watch shows it.
	 * @param millis when the connections go silent and the change is made, after the
	 * start
	 */
	@ParameterizedTest
	@ValueSource(ints = { 5_000, 5_100, 5_200, 5_300, 5_399, 5_400, 5_401, 5_500, 5_599 })
	void shouldApplyAChangeInTimeAfterAllConnectionsHaveGoneSilent(int millis) {
		startFleet(true);
		advance(Duration.ofMillis(millis));
		this.fleet.forEach((process) -> process.silent = true);
		this.store.put("a");
		advance(BOUND);
		this.fleet.forEach((process) -> assertThat(process.present).containsExactly("a"));
	}

	/**
	 * Guards against an upstream that is used for longer than it may be after its entry
	 * was removed, in the same case.
	 * @param millis when the connections go silent and the entry is removed, after the
	 * start
	 */
	@ParameterizedTest
	@ValueSource(ints = { 5_000, 5_100, 5_200, 5_300, 5_399, 5_400, 5_401, 5_500, 5_599 })
	void shouldApplyARemovalInTimeAfterAllConnectionsHaveGoneSilent(int millis) {
		this.store.put("a");
		startFleet(true);
		advance(Duration.ofMillis(millis));
		this.fleet.forEach((process) -> process.silent = true);
		this.store.remove("a");
		advance(BOUND);
		this.fleet.forEach((process) -> assertThat(process.present).isEmpty());
	}

	/**
	 * Guards against a change that no watch delivers, since the store makes it while it
	 * drops its history and cuts no watch.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 5_000, 5_200, 5_400 })
	void shouldApplyAChangeInTimeThatNoWatchDelivers(int millis) {
		startFleet(true);
		advance(Duration.ofMillis(millis));
		this.store.putWithoutEvent("a");
		advance(BOUND);
		this.fleet.forEach((process) -> assertThat(process.present).containsExactly("a"));
	}

	/**
	 * Guards against an upstream that one process uses for longer than it may after its
	 * entry was removed, since its watch alone is lost.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2 })
	void shouldApplyARemovalInTimeThatOneWatchHasLost(int lost) {
		this.store.put("a");
		startFleet(true);
		advance(Duration.ofSeconds(5));
		this.fleet.get(lost).silent = true;
		this.store.remove("a");
		advance(BOUND);
		this.fleet.forEach((process) -> assertThat(process.present).isEmpty());
	}

	/**
	 * Guards against calls of the store that grow with the fleet: the checks are one call
	 * at a time by one process, also while changes are made.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldMakeFewFurtherCalls(boolean changes) {
		int withoutChecks = callsInTenSeconds(false, changes);
		int withChecks = callsInTenSeconds(true, changes);
		assertThat(withChecks - withoutChecks).isAtMost(17);
	}

	private int callsInTenSeconds(boolean checks, boolean changes) {
		this.fleet.forEach((process) -> process.follower.stop());
		this.fleet.clear();
		startFleet(checks);
		advance(Duration.ofSeconds(5));
		this.calls = 0;
		for (int i = 0; i < 10; i++) {
			if (changes) {
				this.store.put("b" + i);
			}
			advance(Duration.ofSeconds(1));
		}
		return this.calls;
	}

	private void startFleet(boolean checks) {
		for (int i = 0; i < 3; i++) {
			this.fleet.add(new Process(checks && i == 0));
		}
	}

	private void advance(Duration duration) {
		long end = this.time.nanos() + duration.toNanos();
		while (this.time.nanos() < end) {
			this.time.advance(Duration.ofNanos(Math.min(Duration.ofMillis(100).toNanos(), end - this.time.nanos())));
			for (Process sender : this.fleet) {
				LoadReport.Builder report = LoadReport.newBuilder();
				sender.reports.writeToAll(report);
				this.fleet.stream()
					.filter((receiver) -> receiver != sender)
					.forEach((receiver) -> receiver.reports.read(report.build()));
			}
		}
	}

	/**
	 * A process with an open connection to the store, which may go silent.
	 */
	private final class Process implements Feed<String>, FeedListener<String> {

		private final List<String> present = new ArrayList<>();

		private final StoreHealth health = StoreHealth.of(LostWatchSimulationTests.this.time);

		private final FeedVersionReports reports = new FeedVersionReports(this.health,
				LostWatchSimulationTests.this.time);

		private final FeedFollower<String> follower;

		private boolean silent;

		Process(boolean checks) {
			this.health.onOverdue(() -> this.silent = false);
			this.follower = FeedFollower.builder(this, this)
				.ticker(LostWatchSimulationTests.this.time)
				.timers(LostWatchSimulationTests.this.time)
				.loop(Runnable::run)
				.random(new Random(7))
				.maxWait(Duration.ofSeconds(16))
				.health(this.health)
				.checkable(true)
				.start();
			this.reports.add(this.follower);
			FeedChecks.start(LostWatchSimulationTests.this.time, (name) -> checks).add(this.follower);
		}

		@Override
		public String name() {
			return "names";
		}

		@Override
		public CompletableFuture<Changes<String>> list() {
			LostWatchSimulationTests.this.calls++;
			return this.silent ? new CompletableFuture<>()
					: CompletableFuture.completedFuture(LostWatchSimulationTests.this.store.list());
		}

		@Override
		public CompletableFuture<Optional<Changes<String>>> changes(long after, Duration maxWait) {
			LostWatchSimulationTests.this.calls++;
			CompletableFuture<Optional<Changes<String>>> watch = new CompletableFuture<>();
			LostWatchSimulationTests.this.store.watches.add(new Watch(this, watch));
			return watch;
		}

		@Override
		public void listed(List<Change<String>> all) {
			this.present.clear();
			all.forEach(this::changed);
		}

		@Override
		public void changed(Change<String> change) {
			if (change.value().isPresent()) {
				this.present.add(change.name());
			}
			else {
				this.present.remove(change.name());
			}
		}

	}

	private record Watch(Process process, CompletableFuture<Optional<Changes<String>>> response) {
	}

	private static final class Store {

		private final Map<String, Long> content = new TreeMap<>();

		private final List<Watch> watches = new ArrayList<>();

		private long version = 1;

		Changes<String> list() {
			return new Changes<>(this.content.entrySet()
				.stream()
				.map((entry) -> new Change<>(entry.getKey(), Optional.of("v" + entry.getValue()), entry.getValue()))
				.toList(), this.version);
		}

		void put(String name) {
			putWithoutEvent(name);
			publish(new Change<>(name, Optional.of("v" + this.version), this.version));
		}

		void putWithoutEvent(String name) {
			this.content.put(name, ++this.version);
		}

		/**
		 * Removes an entry. The event has the version of the entry, not of the removal.
		 */
		void remove(String name) {
			this.version++;
			publish(new Change<>(name, Optional.empty(), this.content.remove(name)));
		}

		private void publish(Change<String> change) {
			List<Watch> open = List.copyOf(this.watches);
			this.watches.clear();
			for (Watch watch : open) {
				if (!watch.process.silent) {
					watch.response.complete(Optional.of(new Changes<>(List.of(change), this.version)));
				}
			}
		}

	}

}
