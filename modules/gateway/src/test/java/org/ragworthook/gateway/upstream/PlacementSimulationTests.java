package org.ragworthook.gateway.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Simulates entries that choose among the same upstreams and receive each other's reports
 * late, under a virtual clock. Counts the requests that queue at an upstream for too
 * long.
 */
class PlacementSimulationTests {

	private static final int SLOTS = 7;

	private static final int ENGINES = 27;

	private static final int MEAN_RUN_MILLIS = 650;

	private static final int REPORT_INTERVAL_MILLIS = 100;

	private static final int SIMULATED_MILLIS = 30_000;

	/** A caller's latency target of 300 ms less the time to the first event. */
	private static final int MAX_QUEUE_MILLIS = 200;

	private static final int SEEDS = 5;

	/**
	 * Guards against many entries choosing the same least loaded upstream until they
	 * receive each other's reports. First events then take twice the latency target
	 * although a quarter of all slots is free and no upstream needs to be full.
	 * @param entries the number of entries
	 * @param minLateWithLeastLoad late requests of 1,000 that occur at least when each
	 * entry chooses the least loaded upstream
	 * @param maxLateWithSpreading late requests of 1,000 that are tolerated when the
	 * choice is randomised
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0, 0", "5, 20, 12", "17, 86, 20", "60, 125, 25" })
	void shouldNotConvergeOnTheSameUpstream(int entries, int minLateWithLeastLoad, int maxLateWithSpreading) {
		double lateWithLeastLoad = 0;
		double lateWithSpreading = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			lateWithLeastLoad += new Simulation(entries, false, seed).latePerThousand() / SEEDS;
			lateWithSpreading += new Simulation(entries, true, seed).latePerThousand() / SEEDS;
		}
		assertThat(lateWithLeastLoad).isAtLeast(minLateWithLeastLoad);
		assertThat(lateWithSpreading).isAtMost(maxLateWithSpreading);
	}

	/** One simulation run. */
	private static final class Simulation {

		private final ManualTime time = ManualTime.of();

		private final Random random;

		private final boolean spreading;

		private final List<Entry> entries = new ArrayList<>();

		private final List<Engine> engines = new ArrayList<>();

		private final int[] reportedLoads = new int[ENGINES];

		private int requests;

		private int late;

		Simulation(int entryCount, boolean spreading, int seed) {
			this.random = new Random(seed);
			this.spreading = spreading;
			for (int i = 0; i < ENGINES; i++) {
				this.engines.add(new Engine());
			}
			for (int i = 0; i < entryCount; i++) {
				this.entries.add(new Entry(i));
			}
		}

		double latePerThousand() {
			double arrivalsPerMilli = 0.75 * SLOTS * ENGINES / MEAN_RUN_MILLIS;
			for (int nowMillis = 0; nowMillis < SIMULATED_MILLIS; nowMillis++) {
				for (Engine engine : this.engines) {
					engine.tick(nowMillis);
				}
				for (Entry entry : this.entries) {
					if (nowMillis % REPORT_INTERVAL_MILLIS == entry.phase) {
						entry.report();
					}
				}
				for (double remaining = arrivalsPerMilli; remaining > 0; remaining--) {
					if (this.random.nextDouble() < remaining) {
						this.entries.get(this.random.nextInt(this.entries.size())).place(nowMillis, arrivalsPerMilli);
					}
				}
			}
			return 1_000.0 * this.late / this.requests;
		}

		/** An upstream that runs requests in order of arrival. */
		private final class Engine {

			private final PriorityQueue<Run> running = new PriorityQueue<>(
					(a, b) -> Integer.compare(a.endMillis, b.endMillis));

			private final Deque<Run> waiting = new ArrayDeque<>();

			void tick(int nowMillis) {
				while (!this.running.isEmpty() && this.running.peek().endMillis <= nowMillis) {
					Run ended = this.running.remove();
					ended.upstream.end(WorkClass.ONLINE);
				}
				while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
					Run next = this.waiting.remove();
					next.endMillis = nowMillis + MEAN_RUN_MILLIS / 2 + Simulation.this.random.nextInt(MEAN_RUN_MILLIS);
					Simulation.this.late += (nowMillis - next.arrivedMillis > MAX_QUEUE_MILLIS) ? 1 : 0;
					this.running.add(next);
				}
			}

		}

		private static final class Run {

			private final TrackedUpstream upstream;

			private final int arrivedMillis;

			private int endMillis;

			Run(TrackedUpstream upstream, int arrivedMillis) {
				this.upstream = upstream;
				this.arrivedMillis = arrivedMillis;
			}

		}

		/** An entry and its view of the upstreams. */
		private final class Entry {

			private final List<TrackedUpstream> fleet = new ArrayList<>();

			private final int[] lastReported = new int[ENGINES];

			private final Placement placement;

			private final int phase;

			Entry(int number) {
				this.phase = Simulation.this.random.nextInt(REPORT_INTERVAL_MILLIS);
				this.placement = Placement.of("d" + number % 4, Simulation.this.time, Simulation.this.random);
				for (int i = 0; i < ENGINES; i++) {
					this.fleet.add(new TrackedUpstream(new UpstreamDescriptor("u" + i, "svc",
							new Address("10.0.0.1", 80), "d" + i % 4, SLOTS, false, SoftwareVersion.of("v1"))));
				}
			}

			void report() {
				for (int i = 0; i < ENGINES; i++) {
					int own = this.fleet.get(i).ownLoad(WorkClass.ONLINE);
					Simulation.this.reportedLoads[i] += own - this.lastReported[i];
					this.lastReported[i] = own;
				}
				for (Entry other : Simulation.this.entries) {
					for (int i = 0; i < ENGINES; i++) {
						other.fleet.get(i)
							.updatePeerLoad(
									new PeerLoad(Simulation.this.reportedLoads[i] - other.lastReported[i], 0, 0));
					}
				}
			}

			void place(int nowMillis, double arrivalsPerMilli) {
				int entryCount = Simulation.this.entries.size();
				double unreported = arrivalsPerMilli * REPORT_INTERVAL_MILLIS / 2 * (entryCount - 1) / entryCount;
				TrackedUpstream choice = this.placement
					.choose(this.fleet, Set.of(), SlotSharing::hasOnlineCapacity, PrefixAffinity.none(),
							Simulation.this.spreading ? unreported : 0)
					.orElse(this.fleet.get(Simulation.this.random.nextInt(ENGINES)));
				choice.begin(WorkClass.ONLINE);
				Simulation.this.requests++;
				Simulation.this.engines.get(this.fleet.indexOf(choice)).waiting.add(new Run(choice, nowMillis));
			}

		}

	}

}
