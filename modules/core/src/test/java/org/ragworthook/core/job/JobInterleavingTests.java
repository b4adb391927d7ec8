package org.ragworthook.core.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.ragworthook.core.store.FaultyObjectStore.Call;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.Stamps;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests random interleavings of faults, repeated submissions and a cancellation.
 */
class JobInterleavingTests {

	private static final int ITEMS = 12;

	private static final int MAX_ENTRIES = 8;

	// Owners are paused, cut off, crash and come back, answers of the store are lost,
	// and the caller repeats its submission and may cancel the job, in any order. Each
	// item must end once, and none may start after an acknowledged cancellation.
	@Property(tries = 400, seed = "20251", shrinking = ShrinkingMode.BOUNDED)
	void shouldEndEachItemOnce(@ForAll @Size(min = 5, max = 60) List<@IntRange(max = 15) Integer> steps,
			@ForAll boolean sidecarsNotified, @ForAll long seed) {
		Trial trial = new Trial(sidecarsNotified, new Random(seed));
		steps.forEach(trial::step);
		trial.heal();
		trial.check();
	}

	private static final class Trial {

		private final JobWorld world = new JobWorld(3);

		private final boolean sidecarsNotified;

		private final Random random;

		private final List<JobWorld.Entry> entries = new ArrayList<>();

		private final String content = IntStream.range(0, ITEMS)
			.mapToObj((item) -> JobWorld.line("i" + item, item % 3 != 0))
			.collect(Collectors.joining("\n"));

		private final JobId id;

		private int entryCount;

		private int startsAtCancel = -1;

		private boolean cancelled;

		Trial(boolean sidecarsNotified, Random random) {
			this.sidecarsNotified = sidecarsNotified;
			this.random = random;
			this.world.sidecars.withoutFencing();
			newEntry();
			newEntry();
			this.id = this.entries.get(0).submit("k", this.content).join().id();
		}

		private void newEntry() {
			if (this.entryCount < MAX_ENTRIES) {
				this.entries.add(this.world.entry("e" + this.entryCount++).start());
			}
		}

		private JobWorld.Entry randomEntry() {
			return this.entries.get(this.random.nextInt(this.entries.size()));
		}

		void step(int action) {
			switch (action) {
				case 0 -> randomEntry().faulty.plan(Fault.DELAYED);
				case 1 -> randomEntry().faulty.deliver();
				case 2, 3 -> reconnect(randomEntry());
				case 4 -> randomEntry().faulty.plan((call) -> loseWrite(call, Fault.ANSWER_LOST));
				case 5 -> randomEntry().faulty.plan((call) -> loseWrite(call, Fault.REQUEST_LOST));
				case 6 -> randomEntry().faulty.plan(Fault.REFUSED);
				case 7 -> replace();
				case 8 -> this.world.seconds(7);
				case 9 -> this.world.time.advance(Duration.ofMillis(300));
				case 10 -> cancel();
				case 11 -> randomEntry().submit("k", this.content);
				case 12 -> this.world.store.endWatches();
				default -> endRandomItem();
			}
		}

		private Fault loseWrite(Call call, Fault fault) {
			return (call.writes() && this.random.nextInt(3) == 0) ? fault : Fault.NONE;
		}

		private static void reconnect(JobWorld.Entry entry) {
			entry.faulty.plan(Fault.NONE);
			entry.faulty.deliver();
		}

		private void replace() {
			JobWorld.Entry lost = randomEntry();
			if (this.entries.size() > 1) {
				lost.crash();
				this.entries.remove(lost);
			}
			newEntry();
		}

		private void cancel() {
			if (!this.cancelled && this.random.nextInt(4) == 0) {
				JobCanceller.of(this.world.store, Stamps.of("caller"), this.world.clock)
					.cancel(JobWorld.ACCOUNT, this.id)
					.thenAccept((job) -> acknowledged());
			}
		}

		private void acknowledged() {
			this.cancelled = true;
			if (this.sidecarsNotified) {
				this.world.sidecars.of("caller").cancel(this.id);
				this.startsAtCancel = this.world.sidecars.allStarts();
			}
			else {
				this.world.time.schedule(JobWorld.PERIOD.plusSeconds(2),
						() -> this.startsAtCancel = this.world.sidecars.allStarts());
			}
		}

		private void endRandomItem() {
			if (this.world.sidecars.runningCount() > 0) {
				int position = this.random.nextInt(this.world.sidecars.runningCount());
				this.world.sidecars.end(position, this::outcome);
			}
		}

		private ItemOutcome outcome(ItemRequest request) {
			return switch (this.random.nextInt(10)) {
				case 0 -> new ItemOutcome.Broken("lost");
				case 1 -> new ItemOutcome.NotPassedOn(Duration.ofMillis(200));
				case 2 -> new ItemOutcome.Yielded("text", 1);
				case 3 -> new ItemOutcome.Crashed(2);
				case 4 -> new ItemOutcome.Answered(503, "{}");
				default -> FakeSidecars.answer(request);
			};
		}

		void heal() {
			this.entries.forEach(Trial::reconnect);
			this.world.time.advance(JobWorld.FAILOVER);
			this.entries.forEach(Trial::reconnect);
			this.world.runToEnd(this.id);
		}

		void check() {
			JobRecord job = this.world.record(this.id);
			assertThat(job.status().ended()).isTrue();
			List<Integer> indexes = this.world.results(this.id).stream().map(ItemResult::index).sorted().toList();
			assertThat(indexes).containsExactlyElementsIn(IntStream.range(0, ITEMS).boxed().toList());
			for (int index = 0; index < ITEMS; index += 3) {
				String request = new ItemId(this.id, 0, index, "").requestId();
				assertWithMessage("starts of " + request).that(this.world.sidecars.starts(request)).isAtMost(1);
			}
			if (this.cancelled) {
				assertThat(job.status()).isEqualTo(JobStatus.CANCELLED);
				assertThat(this.world.sidecars.allStarts()).isEqualTo(this.startsAtCancel);
			}
		}

	}

}
