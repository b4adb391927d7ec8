package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Checks the invariants of {@link PriorityGate} after every event of random event
 * sequences.
 */
class PriorityGatePropertyTests {

	@Property(tries = 300, seed = "4711")
	void shouldKeepInvariants(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int limit,
			@ForAll @IntRange(min = 0, max = 2) int headroom) {
		new Simulation(limit, headroom).run(new Random(seed));
	}

	/**
	 * One random sequence of events, with the state that a sidecar would track.
	 */
	private static final class Simulation {

		private final ManualTime time = ManualTime.of();

		private final List<RunKey> running = new ArrayList<>();

		private final Set<RunKey> online = new HashSet<>();

		private final Set<RunKey> ended = new HashSet<>();

		private final Set<RunKey> suspects = new HashSet<>();

		private final int limit;

		private final List<RunKey> cancelled = new ArrayList<>();

		private final EngineGate gate;

		private Simulation(int limit, int headroom) {
			this.limit = limit;
			this.gate = PriorityGate.builder(this.time)
				.limit(ConcurrencyLimit.fixed(limit))
				.headroom(headroom)
				.queueLimits(8, 8)
				.build();
		}

		private void run(Random random) {
			for (int i = 0; i < 200; i++) {
				carryOut(event(random, i));
				check();
			}
			while (!this.running.isEmpty()) {
				carryOut(end(this.running.get(0)));
			}
			assertThat(this.gate.idle()).isTrue();
		}

		private List<GateAction> event(Random random, int number) {
			this.time.advance(Duration.ofMillis(random.nextInt(100)));
			RunKey run = RunKey.of("r" + number, 1);
			Offer offer = Offer.of(run);
			if (random.nextInt(12) == 0) {
				offer = offer.asExclusive();
				this.suspects.add(run);
			}
			switch (random.nextInt(5)) {
				case 0:
					this.online.add(run);
					return this.gate.offerOnline(offer);
				case 1:
					return this.gate.offerBatch(offer);
				case 2:
					return (this.cancelled.isEmpty()) ? this.gate.sweep()
							: end(this.cancelled.get(random.nextInt(this.cancelled.size())));
				default:
					return (this.running.isEmpty()) ? this.gate.sweep()
							: end(this.running.get(random.nextInt(this.running.size())));
			}
		}

		private List<GateAction> end(RunKey run) {
			this.running.remove(run);
			this.ended.add(run);
			return (this.cancelled.remove(run)) ? this.gate.preempted(run)
					: this.gate.finished(run, RunOutcome.ANSWERED, 3);
		}

		private void carryOut(List<GateAction> actions) {
			for (GateAction action : actions) {
				assertThat(this.ended).doesNotContain(action.run());
				if (action instanceof GateAction.Start) {
					this.running.add(action.run());
				}
				else if (action instanceof GateAction.Cancel) {
					assertThat(this.running).contains(action.run());
					assertThat(this.online).doesNotContain(action.run());
					assertThat(this.cancelled).doesNotContain(action.run());
					this.cancelled.add(action.run());
				}
				else {
					assertThat(this.running).doesNotContain(action.run());
					this.ended.add(action.run());
				}
			}
		}

		private void check() {
			GateLoad load = this.gate.load();
			assertThat(load.onlineRunning() + load.batchRunning()).isEqualTo(this.running.size());
			assertThat(this.running.size()).isAtMost(this.limit);
			if (this.running.stream().anyMatch(this.suspects::contains)) {
				assertThat(this.running).hasSize(1);
			}
			boolean allSuspectsEnded = this.suspects.stream().allMatch(this.ended::contains);
			if (load.onlineQueued() > 0 && allSuspectsEnded) {
				assertThat(this.running).hasSize(this.limit);
				assertThat(this.cancelled.size()).isAtLeast(Math.min(load.onlineQueued(), load.batchRunning()));
			}
		}

	}

}
