package org.ragworthook.core.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.FaultyObjectStore.Call;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Stored;

import static com.google.common.truth.Truth.assertThat;

/**
 * The specification is checked by a model checker, the code by its runs; this ties the
 * two: whatever the code writes and dispatches under random pauses, losses, late writes
 * and lost answers must be a transition of the specification. Without it the code could
 * drift from the protocol that was proved, and one would notice only by a double result.
 */
class ShardTraceTests {

	private static final int ITEMS = 6;

	private static final int STEPS = 60;

	private static final Set<Integer> NON_IDEMPOTENT = Set.of(0, 3);

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldOnlyMakeTransitionsOfTheSpecification(int block) {
		int arrivals = 0;
		int epochs = 0;
		for (int seed = block * 1000; seed < block * 1000 + 25; seed++) {
			Trial trial = new Trial(seed);
			trial.run();
			arrivals += trial.specification.arrivals();
			epochs = Math.max(epochs, trial.epochs);
		}
		assertThat(arrivals).isGreaterThan(100);
		assertThat(epochs).isGreaterThan(2);
	}

	@Test
	void shouldNoticeARunWithoutAStartRecord() {
		ShardSpecification specification = new ShardSpecification(NON_IDEMPOTENT);
		specification.take(1);
		specification.arrive(ResultRecord.claimed(1, ITEMS));
		assertThat(refused(() -> specification.dispatch(0, 1))).isTrue();
	}

	@Test
	void shouldNoticeAWriteOfADeposedOwner() {
		ShardSpecification specification = new ShardSpecification(NON_IDEMPOTENT);
		specification.take(1);
		specification.take(2);
		specification.arrive(ResultRecord.claimed(2, ITEMS));
		assertThat(refused(() -> specification.arrive(ResultRecord.claimed(1, ITEMS)))).isTrue();
	}

	private static boolean refused(Runnable transition) {
		try {
			transition.run();
			return false;
		}
		catch (AssertionError ex) {
			return true;
		}
	}

	private static final class Trial {

		private final JobWorld world = new JobWorld(3);

		private final ShardSpecification specification = new ShardSpecification(NON_IDEMPOTENT);

		private final List<JobWorld.Entry> entries = new ArrayList<>();

		private final Random random;

		private final JobId id;

		private int names;

		private int seen;

		private int epochs;

		Trial(int seed) {
			this.random = new Random(seed);
			this.world.sidecars.withoutFencing();
			this.world.store.watch(Kind.LEASE, Labels.empty(), 0, (event) -> lease(event.object()), () -> {
			});
			this.world.store.watch(Kind.RESULT, Labels.empty(), 0, (event) -> result(event.object()), () -> {
			});
			newEntry();
			newEntry();
			String content = IntStream.range(0, ITEMS)
				.mapToObj((item) -> JobWorld.line("i" + item, !NON_IDEMPOTENT.contains(item)))
				.collect(Collectors.joining("\n"));
			this.id = this.entries.get(0).submit("k", content).join().id();
		}

		private void newEntry() {
			this.entries.add(this.world.entry("e" + this.names++).start());
		}

		// -- trace

		private void lease(Stored lease) {
			dispatches();
			long epoch = Lease.parse(lease.key().name(), lease.text()).epoch();
			this.epochs = (int) epoch;
			this.specification.take(epoch);
		}

		private void result(Stored record) {
			dispatches();
			this.specification.arrive(ResultRecord.parse(record.text()));
		}

		private void dispatches() {
			List<ItemRequest> requests = this.world.sidecars.requests();
			for (ItemRequest request : requests.subList(this.seen, requests.size())) {
				this.specification.dispatch(request.id().index(), request.epoch());
			}
			this.seen = requests.size();
		}

		// -- schedule

		void run() {
			IntStream.range(0, STEPS).forEach((step) -> step());
			this.entries.forEach(Trial::wake);
			this.world.time.advance(JobWorld.TAKE_OVER);
			assertThat(this.world.runToEnd(this.id).status().ended()).isTrue();
			dispatches();
		}

		private void step() {
			switch (this.random.nextInt(14)) {
				case 0 -> some().faulty.plan(Fault.DELAYED);
				case 1 -> some().faulty.plan((call) -> lose(call, Fault.ANSWER_LOST));
				case 2 -> some().faulty.plan((call) -> lose(call, Fault.LATE));
				case 3 -> some().faulty.deliver();
				case 4, 5 -> wake(some());
				case 6 -> replace();
				case 7 -> this.world.seconds(7);
				case 8 -> this.world.time.advance(Duration.ofMillis(300));
				case 9, 10 -> some().faulty.plan((call) -> (call.kind() != Kind.LEASE) ? Fault.DELAYED : Fault.NONE);
				default -> endSome();
			}
		}

		private JobWorld.Entry some() {
			return this.entries.get(this.random.nextInt(this.entries.size()));
		}

		private static void wake(JobWorld.Entry entry) {
			entry.faulty.plan(Fault.NONE);
			entry.faulty.deliver();
		}

		private Fault lose(Call call, Fault fault) {
			return (call.writes() && this.random.nextInt(3) == 0) ? fault : Fault.NONE;
		}

		private void replace() {
			JobWorld.Entry lost = some();
			lost.die();
			this.entries.remove(lost);
			newEntry();
		}

		private void endSome() {
			if (this.world.sidecars.runningCount() > 0) {
				this.world.sidecars.end(this.random.nextInt(this.world.sidecars.runningCount()), this::outcome);
			}
		}

		private ItemOutcome outcome(ItemRequest request) {
			return switch (this.random.nextInt(6)) {
				case 0 -> new ItemOutcome.Broken("lost");
				case 1 -> new ItemOutcome.Yielded("text", 1);
				default -> FakeSidecars.answer(request);
			};
		}

	}

}
