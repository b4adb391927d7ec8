package org.ragworthook.core.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.store.FaultyObjectStore;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

class ShardLeasesTests {

	private static final Duration PERIOD = Duration.ofSeconds(6);

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final ManualTime time = ManualTime.of();

	private final Set<String> listed = new TreeSet<>();

	private final Map<String, Entry> entries = new HashMap<>();

	private Entry start(String name, int shards) {
		this.listed.add(name);
		Entry entry = new Entry(name, shards);
		this.entries.put(name, entry);
		entry.leases.start();
		return entry;
	}

	private List<Integer> shardCounts() {
		return this.entries.values().stream().map((entry) -> entry.leases.held().size()).sorted().toList();
	}

	private int heldShards() {
		return this.entries.values()
			.stream()
			.flatMap((entry) -> entry.leases.held().stream())
			.collect(Collectors.toSet())
			.size();
	}

	@Property(tries = 200, seed = "5")
	void shouldComputeSharesThatAddUpToAllShards(@ForAll @IntRange(max = 400) int shards,
			@ForAll @IntRange(min = 1, max = 330) int entries) {
		Set<String> names = IntStream.range(0, entries).mapToObj((rank) -> "e" + rank).collect(Collectors.toSet());
		List<ShardShare> shares = names.stream().map((name) -> ShardShare.of(shards, names, name)).toList();
		assertThat(shares.stream().mapToInt(ShardShare::count).sum()).isEqualTo(shards);
		int least = shares.stream().mapToInt(ShardShare::count).min().orElseThrow();
		assertThat(shares.stream().allMatch((share) -> share.count() - least <= 1)).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "24, 1", "24, 3", "10, 3", "2, 3", "1, 3" })
	void shouldSpreadShardsEvenly(int shards, int entries) {
		IntStream.range(0, entries).forEach((rank) -> this.listed.add("e" + rank));
		IntStream.range(0, entries).forEach((rank) -> start("e" + rank, shards));
		this.time.advance(Duration.ofSeconds(3));
		assertThat(heldShards()).isEqualTo(shards);
		assertThat(shardCounts().get(entries - 1) - shardCounts().get(0)).isAtMost(1);
	}

	@Test
	void shouldMoveOnlySurplusToNewEntry() {
		start("a", 24);
		start("b", 24);
		this.time.advance(Duration.ofSeconds(3));
		List<Integer> before = this.entries.get("a").leases.held();
		start("c", 24);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(shardCounts()).containsExactly(8, 8, 8);
		assertThat(before).containsAtLeastElementsIn(this.entries.get("a").leases.held());
	}

	// An entry is lost without releasing its shards. Jobs in these shards make no
	// progress until other entries acquire them.
	@Test
	void shouldAcquireShardsOfLostEntryWithinTwoPeriods() {
		start("a", 12);
		start("b", 12);
		this.time.advance(Duration.ofSeconds(10));
		this.entries.get("b").crash();
		this.listed.remove("b");
		this.time.advance(PERIOD.multipliedBy(2));
		assertThat(this.entries.get("a").leases.held()).hasSize(12);
	}

	// The platform's list still contains an entry that is gone. Without further
	// measures its share would stay unowned and the jobs would never run.
	@Test
	void shouldAcquireUnclaimedShardsBeyondShare() {
		this.listed.add("gone");
		start("a", 12);
		this.time.advance(PERIOD.multipliedBy(2));
		assertThat(this.entries.get("a").leases.held()).hasSize(12);
		this.time.advance(PERIOD.multipliedBy(4));
		assertThat(this.entries.get("a").events.stream().filter((event) -> event.startsWith("releasing"))).isEmpty();
	}

	@Test
	void shouldHandOverWithinOneSecondWhenReleased() {
		start("a", 12);
		start("b", 12);
		this.time.advance(Duration.ofSeconds(10));
		this.listed.remove("b");
		this.entries.get("b").leases.releaseAll().join();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.entries.get("a").leases.held()).hasSize(12);
	}

	// The platform is unavailable for longer than a lease is valid. The entry must stop
	// its work and notify its listener, and continue when the platform is back.
	@Test
	void shouldStopDuringStoreOutageAndContinueAfterwards() {
		Entry entry = start("a", 2);
		this.time.advance(Duration.ofSeconds(3));
		entry.faulty.plan(Fault.REFUSED);
		this.time.advance(Duration.ofHours(1));
		assertThat(entry.leases.held()).isEmpty();
		assertThat(entry.events).containsExactly("acquired 0@1", "acquired 1@1", "lost 0@1", "lost 1@1");
		entry.faulty.plan(Fault.NONE);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(entry.events.subList(4, 6)).containsExactly("acquired 0@1", "acquired 1@1");
	}

	@Test
	void shouldLimitNumberOfStoreCalls() {
		Entry entry = start("a", 12);
		this.time.advance(Duration.ofSeconds(10));
		int before = entry.faulty.calls().size();
		this.time.advance(Duration.ofSeconds(60));
		int perMinute = entry.faulty.calls().size() - before;
		assertThat(perMinute).isAtMost(60 + 30 * 12);
	}

	/**
	 * Every entry polls all leases. With one poll per second each, 320 entries would use
	 * a sixth of the platform's read capacity and slow down jobs and cancellations.
	 */
	@ParameterizedTest
	@CsvSource({ "3, 60", "20, 60", "320, 4" })
	void shouldPollLessOftenWithMoreEntries(int entries, int maxPollsPerMinute) {
		IntStream.range(0, entries).forEach((rank) -> this.listed.add("other-" + rank));
		Entry entry = start("a", 1);
		this.time.advance(Duration.ofSeconds(30));
		int before = entry.faulty.calls().size();
		this.time.advance(Duration.ofSeconds(60));
		assertThat(entry.faulty.calls().size() - before).isAtMost(maxPollsPerMinute + 31);
	}

	private final class Entry implements ShardListener {

		private final FaultyObjectStore faulty = FaultyObjectStore.over(ShardLeasesTests.this.store);

		private final List<String> events = new ArrayList<>();

		private final ShardLeases leases;

		Entry(String name, int shards) {
			this.leases = ShardLeases.builder(this.faulty, Stamps.of(name))
				.time(ShardLeasesTests.this.time, ShardLeasesTests.this.time)
				.listener(this)
				.entries(() -> Set.copyOf(ShardLeasesTests.this.listed))
				.shards("shard", shards)
				.period(PERIOD)
				.build();
		}

		void crash() {
			this.faulty.plan(Fault.DEAD_BEFORE);
		}

		@Override
		public void acquired(int shard, Lease lease) {
			this.events.add("acquired " + shard + "@" + lease.epoch());
		}

		@Override
		public void lost(int shard, Lease lease) {
			this.events.add("lost " + shard + "@" + lease.epoch());
		}

		@Override
		public CompletableFuture<Void> releasing(int shard, Lease lease) {
			this.events.add("releasing " + shard + "@" + lease.epoch());
			return CompletableFuture.completedFuture(null);
		}

	}

}
