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
 * Checks the implementation against the specification: a model checker verifies the
 * protocol, and these tests check that all writes and dispatches of the code, under
 * random pauses, losses, delayed writes and lost answers, are transitions of it.
 * Otherwise the code could drift from the verified protocol unnoticed until an item ends
 * twice.
 */
class ShardTraceTests {

	private static final int ITEMS = 6;

	private static final int STEPS = 60;

	private static final Set<Integer> NON_IDEMPOTENT = Set.of(0, 3);

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldMakeOnlySpecifiedTransitions(int block) {
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
	void shouldRejectRunWithoutStartRecord() {
		ShardSpecification specification = new ShardSpecification(NON_IDEMPOTENT);
		specification.take(1);
		specification.arrive(ResultRecord.claimed(1, ITEMS));
		assertThat(rejected(() -> specification.dispatch(0, 1))).isTrue();
	}

	@Test
	void shouldRejectWriteOfEarlierOwner() {
		ShardSpecification specification = new ShardSpecification(NON_IDEMPOTENT);
		specification.take(1);
		specification.take(2);
		specification.arrive(ResultRecord.claimed(2, ITEMS));
		assertThat(rejected(() -> specification.arrive(ResultRecord.claimed(1, ITEMS)))).isTrue();
	}

	private static boolean rejected(Runnable transition) {
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

		private int entryCount;

		private int checkedRequests;

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
			this.entries.add(this.world.entry("e" + this.entryCount++).start());
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
			for (ItemRequest request : requests.subList(this.checkedRequests, requests.size())) {
				this.specification.dispatch(request.id().index(), request.epoch());
			}
			this.checkedRequests = requests.size();
		}

		// -- schedule

		void run() {
			IntStream.range(0, STEPS).forEach((step) -> step());
			this.entries.forEach(Trial::reconnect);
			this.world.time.advance(JobWorld.FAILOVER);
			assertThat(this.world.runToEnd(this.id).status().ended()).isTrue();
			dispatches();
		}

		private void step() {
			switch (this.random.nextInt(14)) {
				case 0 -> randomEntry().faulty.plan(Fault.DELAYED);
				case 1 -> randomEntry().faulty.plan((call) -> loseWrite(call, Fault.ANSWER_LOST));
				case 2 -> randomEntry().faulty.plan((call) -> loseWrite(call, Fault.LATE));
				case 3 -> randomEntry().faulty.deliver();
				case 4, 5 -> reconnect(randomEntry());
				case 6 -> replace();
				case 7 -> this.world.seconds(7);
				case 8 -> this.world.time.advance(Duration.ofMillis(300));
				case 9, 10 ->
					randomEntry().faulty.plan((call) -> (call.kind() != Kind.LEASE) ? Fault.DELAYED : Fault.NONE);
				default -> endRandomItem();
			}
		}

		private JobWorld.Entry randomEntry() {
			return this.entries.get(this.random.nextInt(this.entries.size()));
		}

		private static void reconnect(JobWorld.Entry entry) {
			entry.faulty.plan(Fault.NONE);
			entry.faulty.deliver();
		}

		private Fault loseWrite(Call call, Fault fault) {
			return (call.writes() && this.random.nextInt(3) == 0) ? fault : Fault.NONE;
		}

		private void replace() {
			JobWorld.Entry lost = randomEntry();
			lost.crash();
			this.entries.remove(lost);
			newEntry();
		}

		private void endRandomItem() {
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
