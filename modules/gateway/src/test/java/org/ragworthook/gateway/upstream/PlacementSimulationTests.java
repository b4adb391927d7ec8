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
 * Plays entries that choose among the same engines and hear of each other late, under a
 * virtual clock, and counts the requests that wait at an engine.
 */
class PlacementPlayTests {

	private static final int SLOTS = 7;

	private static final int ENGINES = 27;

	private static final int RUN_MILLIS = 650;

	private static final int NEWS_MILLIS = 100;

	private static final int PLAYED_MILLIS = 30_000;

	/** A caller's goal of 300 ms less what the first event takes. */
	private static final int LATE_MILLIS = 200;

	private static final int SEEDS = 5;

	/**
	 * A calm day of many entries: three quarters of all slots are in use, and no engine
	 * has to be full. Each entry chooses the engine with the least load that it has heard
	 * of, which is the same one for all of them for a tenth of a second; one notices
	 * first events after twice the goal though a quarter of the slots is free.
	 * @param entries how many entries there are
	 * @param plain how many of 1,000 requests are late at least when each chooses the
	 * least load
	 * @param spread how many are at most when the choice is spread
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0, 0", "5, 20, 12", "17, 86, 20", "60, 125, 25" })
	void shouldNotMeetAtTheSameEngine(int entries, int plain, int spread) {
		double before = 0;
		double after = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			before += new Play(entries, false, seed).late() / SEEDS;
			after += new Play(entries, true, seed).late() / SEEDS;
		}
		assertThat(before).isAtLeast(plain);
		assertThat(after).isAtMost(spread);
	}

	/**
	 * One day.
	 */
	private static final class Play {

		private final ManualTime time = ManualTime.of();

		private final Random random;

		private final boolean spreading;

		private final List<View> views = new ArrayList<>();

		private final List<Engine> engines = new ArrayList<>();

		private final int[] told = new int[ENGINES];

		private int requests;

		private int late;

		Play(int entries, boolean spreading, int seed) {
			this.random = new Random(seed);
			this.spreading = spreading;
			for (int i = 0; i < ENGINES; i++) {
				this.engines.add(new Engine());
			}
			for (int i = 0; i < entries; i++) {
				this.views.add(new View(i));
			}
		}

		double late() {
			double perMilli = 0.75 * SLOTS * ENGINES / RUN_MILLIS;
			for (int now = 0; now < PLAYED_MILLIS; now++) {
				for (Engine engine : this.engines) {
					engine.round(now);
				}
				for (View view : this.views) {
					if (now % NEWS_MILLIS == view.phase) {
						view.report();
					}
				}
				for (double left = perMilli; left > 0; left--) {
					if (this.random.nextDouble() < left) {
						this.views.get(this.random.nextInt(this.views.size())).place(now, perMilli);
					}
				}
			}
			return 1_000.0 * this.late / this.requests;
		}

		/**
		 * An engine that admits in order of arrival.
		 */
		private final class Engine {

			private final PriorityQueue<Run> running = new PriorityQueue<>((a, b) -> Integer.compare(a.end, b.end));

			private final Deque<Run> waiting = new ArrayDeque<>();

			void round(int now) {
				while (!this.running.isEmpty() && this.running.peek().end <= now) {
					Run ended = this.running.remove();
					ended.at.end(WorkClass.ONLINE);
				}
				while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
					Run next = this.waiting.remove();
					next.end = now + RUN_MILLIS / 2 + Play.this.random.nextInt(RUN_MILLIS);
					Play.this.late += (now - next.arrived > LATE_MILLIS) ? 1 : 0;
					this.running.add(next);
				}
			}

		}

		private static final class Run {

			private final TrackedUpstream at;

			private final int arrived;

			private int end;

			Run(TrackedUpstream at, int arrived) {
				this.at = at;
				this.arrived = arrived;
			}

		}

		/**
		 * What one entry knows.
		 */
		private final class View {

			private final List<TrackedUpstream> fleet = new ArrayList<>();

			private final int[] told = new int[ENGINES];

			private final Placement placement;

			private final int phase;

			View(int number) {
				this.phase = Play.this.random.nextInt(NEWS_MILLIS);
				this.placement = Placement.of("d" + number % 4, Play.this.time, Play.this.random);
				for (int i = 0; i < ENGINES; i++) {
					this.fleet.add(new TrackedUpstream(new UpstreamDescriptor("u" + i, "svc",
							new Address("10.0.0.1", 80), "d" + i % 4, SLOTS, false)));
				}
			}

			void report() {
				for (int i = 0; i < ENGINES; i++) {
					int own = this.fleet.get(i).ownLoad(WorkClass.ONLINE);
					Play.this.told[i] += own - this.told[i];
					this.told[i] = own;
				}
				for (View other : Play.this.views) {
					for (int i = 0; i < ENGINES; i++) {
						other.fleet.get(i).updatePeerLoad(new PeerLoad(Play.this.told[i] - other.told[i], 0, 0));
					}
				}
			}

			void place(int now, double perMilli) {
				int entries = Play.this.views.size();
				double unreported = perMilli * NEWS_MILLIS / 2 * (entries - 1) / entries;
				TrackedUpstream choice = this.placement
					.choose(this.fleet, Set.of(), SlotSharing::hasOnlineCapacity, PrefixAffinity.none(),
							Play.this.spreading ? unreported : 0)
					.orElse(this.fleet.get(Play.this.random.nextInt(ENGINES)));
				choice.begin(WorkClass.ONLINE);
				Play.this.requests++;
				Play.this.engines.get(this.fleet.indexOf(choice)).waiting.add(new Run(choice, now));
			}

		}

	}

}
