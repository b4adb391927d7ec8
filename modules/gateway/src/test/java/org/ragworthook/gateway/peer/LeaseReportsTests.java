package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.account.ConfigurationLease;
import org.ragworthook.gateway.account.LeaseTerms;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks of the configuration by one process that renew the leases of its peers.
 */
class LeaseReportsTests {

	private static final Duration BOUND = Duration.ofSeconds(5);

	private final ManualTime time = ManualTime.of();

	private final Random random = new Random(7);

	private Duration revokedAt = Duration.ofDays(1);

	private Duration now() {
		return Duration.ofNanos(this.time.nanos());
	}

	private boolean revoked() {
		return now().compareTo(this.revokedAt) >= 0;
	}

	@Test
	void shouldRenewTheLeaseOfAPeer() {
		Entry checker = new Entry("one", 4_900);
		Entry other = new Entry("other", -91_000);
		checker.receive(other.report());
		this.time.advance(Duration.ofMillis(10));
		checker.use();
		this.time.advance(Duration.ofMillis(40));
		other.receive(checker.report());
		assertThat(other.lease.confirmationAge()).isEqualTo(Optional.of(Duration.ofMillis(40)));
		assertThat(other.checks).isEqualTo(0);
	}

	/**
	 * Guards against a check that is taken for newer than it is because one of the two
	 * reports was delayed, for instance while its receiver was paused.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0", "3000, 0", "0, 3000", "2000, 2000" })
	void shouldNotExtendTheLeaseByTransmissionDelays(long thereMillis, long backMillis) {
		Entry checker = new Entry("one", 0);
		Entry other = new Entry("other", 63_000);
		LoadReport clockReading = other.report();
		this.time.advance(Duration.ofMillis(thereMillis));
		checker.receive(clockReading);
		checker.use();
		LoadReport confirmation = checker.report();
		this.time.advance(Duration.ofMillis(backMillis));
		other.receive(confirmation);
		assertThat(other.lease.confirmationAge()).isEqualTo(Optional.of(Duration.ofMillis(thereMillis + backMillis)));
	}

	/**
	 * Guards against a peer that has not received a revocation and renews its lease by a
	 * check of the newer configuration.
	 */
	@Test
	void shouldNotConfirmAnOlderConfiguration() {
		Entry checker = new Entry("one", 0);
		Entry other = new Entry("other", 0);
		checker.receive(other.report());
		checker.version = 8;
		checker.use();
		other.receive(checker.report());
		assertThat(other.lease.confirmationAge()).isEqualTo(Optional.empty());
		other.version = 8;
		other.receive(checker.report());
		assertThat(other.lease.confirmationAge()).isNotEqualTo(Optional.empty());
	}

	/**
	 * Guards against a time by the clock of a peer's earlier run, which may have been
	 * ahead of the clock of the present one.
	 */
	@Test
	void shouldNotConfirmALaterRun() {
		Entry checker = new Entry("one", 0);
		checker.receive(new Entry("other", 490_000).report());
		checker.use();
		this.time.advance(Duration.ofMillis(1));
		Entry restarted = new Entry("other", 0);
		restarted.receive(checker.report());
		assertThat(restarted.lease.confirmationAge()).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(ints = { 6, 24, 100 })
	void shouldCheckSeldomInFleetsOfAnySize(int processes) {
		List<Entry> entries = new ArrayList<>();
		for (int i = 0; i < processes; i++) {
			entries.add(new Entry("e" + i, i * 1_000L));
		}
		simulate(entries, 60, (from, to) -> false);
		int checks = entries.stream().mapToInt((entry) -> entry.checks).sum();
		int refused = entries.stream().mapToInt((entry) -> entry.refused).sum();
		assertThat(refused).isEqualTo(0);
		assertThat(checks).isAtMost(processes + 100);
	}

	/**
	 * Guards against processes that keep renewing each other's leases and accept a
	 * revoked key after the bound, while some of them are paused or cut off from the
	 * platform, from peers, or from both.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void shouldKeepTheRevocationBoundDuringPartitions(long seed) {
		this.random.setSeed(seed);
		this.revokedAt = Duration.ofSeconds(8);
		List<Entry> entries = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			entries.add(new Entry("e" + i, this.random.nextInt(1_000_000) - 500_000));
		}
		boolean[][] partitioned = new boolean[8][8];
		for (boolean[] row : partitioned) {
			for (int i = 0; i < row.length; i++) {
				row[i] = this.random.nextInt(3) == 0;
			}
		}
		entries.forEach((entry) -> entry.cutOffMillis = this.random.nextBoolean() ? 7_000 : Long.MAX_VALUE);
		simulate(entries, 30, (from, to) -> now().toMillis() > 6_000 && partitioned[from][to]);
		for (Entry entry : entries) {
			assertWithMessage("%s, seed %s", entry.name, seed).that(entry.lastAcceptedMillis)
				.isAtMost(this.revokedAt.plus(BOUND).toMillis());
		}
	}

	private void simulate(List<Entry> entries, int seconds, Partition partition) {
		PriorityQueue<Delivery> deliveries = new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis));
		for (long at = 0; at < seconds * 1_000L; at += 10) {
			this.time.advance(Duration.ofMillis(10));
			for (int i = 0; i < entries.size(); i++) {
				Entry entry = entries.get(i);
				if (entry.pausedUntilMillis > now().toMillis()) {
					continue;
				}
				if (this.random.nextInt(2_000) == 0) {
					entry.pausedUntilMillis = now().toMillis() + this.random.nextInt(3_000);
				}
				if (this.random.nextInt(8) == 0) {
					entry.use();
				}
				if (at % 100 == 0 || entry.flush) {
					entry.flush = false;
					byte[] report = entry.report().toByteArray();
					for (int to = 0; to < entries.size(); to++) {
						if (to != i && !partition.between(i, to) && this.random.nextInt(50) != 0) {
							deliveries.add(new Delivery(now().toMillis() + this.random.nextInt(30), to, report));
						}
					}
				}
			}
			while (!deliveries.isEmpty() && deliveries.peek().atMillis <= now().toMillis()) {
				Delivery next = deliveries.remove();
				Entry to = entries.get(next.to);
				if (to.pausedUntilMillis > now().toMillis()) {
					deliveries.add(new Delivery(to.pausedUntilMillis, next.to, next.report));
				}
				else {
					to.receive(parse(next.report));
				}
			}
		}
	}

	private static LoadReport parse(byte[] report) {
		try {
			return LoadReport.parseFrom(report);
		}
		catch (java.io.IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private interface Partition {

		boolean between(int from, int to);

	}

	private record Delivery(long atMillis, int to, byte[] report) {
	}

	/**
	 * A simulated process with its own monotonic clock.
	 */
	private final class Entry {

		private final String name;

		private final Ticker clock;

		private final long startedMillis;

		private final ConfigurationLease lease;

		private final LeaseReports reports;

		private long version = 7;

		private int checks;

		private int refused;

		private boolean flush;

		private long cutOffMillis = Long.MAX_VALUE;

		private long pausedUntilMillis;

		private long lastAcceptedMillis;

		Entry(String name, long aheadMillis) {
			this.name = name;
			this.clock = () -> LeaseReportsTests.this.time.nanos() + Duration.ofMillis(aheadMillis).toNanos();
			this.startedMillis = 1_000 + now().toMillis();
			this.lease = ConfigurationLease.of(this.clock, LeaseReportsTests.this.time, Runnable::run, this::check,
					LeaseTerms.ofRevocationBound(BOUND), LeaseReportsTests.this.random);
			PeerIdentity self = new PeerIdentity(name, this.startedMillis, new Address("127.0.0.1", 1), false);
			this.reports = new LeaseReports(this.lease, self, this.clock, () -> this.version, () -> this.flush = true);
		}

		private CompletableFuture<Boolean> check() {
			this.checks++;
			if (now().toMillis() >= this.cutOffMillis) {
				return CompletableFuture.failedFuture(new IllegalStateException("cut off"));
			}
			this.version = Math.max(this.version, revoked() ? 8 : 7);
			return CompletableFuture.completedFuture(true);
		}

		void use() {
			this.lease.awaitConfirmation(this.lease.validity(), (confirmed) -> {
				if (!confirmed) {
					this.refused++;
				}
				else if (this.version < 8) {
					this.lastAcceptedMillis = now().toMillis();
				}
			});
		}

		LoadReport report() {
			LoadReport.Builder report = LoadReport.newBuilder()
				.setInstance(this.name)
				.setStartedMillis(this.startedMillis);
			this.reports.write(report);
			return report.build();
		}

		void receive(LoadReport report) {
			this.reports.read(report);
		}

	}

}
