package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * The owners of jobs by the views of several processes, while one of them leaves its jobs
 * to the others and takes them back. Reports arrive late, and some are lost.
 */
class JobSheddingSimulationTests {

	private static final int RUNNERS = 5;

	private static final List<String> JOBS = IntStream.range(0, 100).mapToObj((i) -> "job" + i).toList();

	private final ManualTime time = ManualTime.of();

	private final List<Runner> runners = new ArrayList<>();

	/**
	 * Guards against processes that have the same reports and yet take different
	 * processes for the owner of a job.
	 */
	@Test
	void shouldAgreeOnOwnersWithTheSameReports() {
		start();
		for (int shedding = 0; shedding < 1 << RUNNERS; shedding++) {
			for (Runner runner : this.runners) {
				runner.shedsJobs = (shedding >> runner.number & 1) != 0;
			}
			this.time.advance(Duration.ofMillis(200));
			this.runners.forEach((sender) -> this.runners.forEach((receiver) -> receiver.receive(sender.report())));
			this.runners.forEach((runner) -> runner.fleet.invalidate());
			for (String job : JOBS) {
				assertThat(this.runners.stream().filter((runner) -> runner.owns(job)).count()).isEqualTo(1);
			}
		}
	}

	/**
	 * Guards against items that run twice, or that nobody runs, for longer than when a
	 * process loses and regains the store.
	 * @param seed the seed of delays and losses
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldNotLeaveJobsWithTwoOwnersOrNoneForLongerThanALossOfTheStore(long seed) {
		Disagreement shedding = simulate(seed, (runner, value) -> runner.shedsJobs = value);
		Disagreement storeLoss = simulate(seed, (runner, value) -> runner.storeLost = value);
		assertThat(shedding.twoOwnersMillis).isAtMost(storeLoss.twoOwnersMillis);
		assertThat(shedding.noOwnerMillis).isAtMost(storeLoss.noOwnerMillis);
		assertWithMessage("%s", shedding).that(shedding.twoOwnersMillis).isGreaterThan(0);
	}

	private Disagreement simulate(long seed, BiConsumer<Runner, Boolean> change) {
		this.runners.clear();
		start();
		Random random = new Random(seed);
		Map<String, Integer> twoOwners = new HashMap<>();
		Map<String, Integer> noOwner = new HashMap<>();
		int longestTwo = 0;
		int longestNone = 0;
		for (int millis = 0; millis < 10_000; millis += 10) {
			change.accept(this.runners.get(0), millis >= 3_000 && millis < 7_000);
			for (Runner sender : this.runners) {
				if (millis % 100 == 20 * sender.number) {
					LoadReport report = sender.report();
					this.runners.stream()
						.filter((receiver) -> receiver != sender && random.nextInt(10) > 0)
						.forEach((receiver) -> this.time.schedule(Duration.ofMillis(random.nextInt(100)),
								() -> receiver.receive(report)));
				}
			}
			this.time.advance(Duration.ofMillis(10));
			for (String job : (millis < 1_000) ? List.<String>of() : JOBS) {
				long owners = this.runners.stream().filter((runner) -> runner.owns(job)).count();
				twoOwners.merge(job, 10, (sum, step) -> (owners > 1) ? sum + step : 0);
				noOwner.merge(job, 10, (sum, step) -> (owners < 1) ? sum + step : 0);
				longestTwo = Math.max(longestTwo, twoOwners.get(job));
				longestNone = Math.max(longestNone, noOwner.get(job));
			}
		}
		return new Disagreement(longestTwo, longestNone);
	}

	private void start() {
		for (int i = 0; i < RUNNERS; i++) {
			this.runners.add(new Runner(i));
		}
	}

	/**
	 * The longest times for which the processes disagreed about the owner of a job.
	 *
	 * @param twoOwnersMillis while two processes or more took themselves for the owner
	 * @param noOwnerMillis while none did
	 */
	private record Disagreement(int twoOwnersMillis, int noOwnerMillis) {
	}

	private final class Runner {

		private final int number;

		private final PeerTable peers = new PeerTable(JobSheddingSimulationTests.this.time);

		private final FleetView fleet;

		private final RendezvousOwners owners;

		private boolean shedsJobs;

		private boolean storeLost;

		private long sequence;

		Runner(int number) {
			this.number = number;
			this.fleet = new FleetView(JobSheddingSimulationTests.this.time, this.peers,
					new PeerIdentity(name(), 1, new Address("10.0.0." + number, 80), true));
			this.fleet.shedsJobs(() -> this.shedsJobs);
			this.fleet.storeLost(() -> this.storeLost);
			this.owners = RendezvousOwners.of(name(), this.fleet::ownerCandidates);
		}

		private String name() {
			return "runner-" + this.number;
		}

		LoadReport report() {
			return LoadReport.newBuilder()
				.setInstance(name())
				.setStartedMillis(1)
				.setSequence(++this.sequence)
				.setHost("10.0.0." + this.number)
				.setPort(80)
				.setRunsJobs(true)
				.setStoreLost(this.fleet.hasLostStore())
				.setShedsJobs(this.fleet.shedsJobs())
				.build();
		}

		void receive(LoadReport report) {
			if (!report.getInstance().equals(name())) {
				this.peers.accept(report, 0);
				this.fleet.invalidate();
			}
		}

		boolean owns(String job) {
			return this.owners.ownedHere(job);
		}

	}

}
