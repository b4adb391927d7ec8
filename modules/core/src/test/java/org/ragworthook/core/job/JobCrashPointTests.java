package org.ragworthook.core.job;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.core.store.FaultyObjectStore.Fault;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Injects a fault at each store call that the owner of a small job makes.
 */
class JobCrashPointTests {

	private static final int ITEMS = 5;

	private static final String CONTENT = String.join("\n",
			List.of(JobWorld.line("i0", true), JobWorld.line("i1", false), JobWorld.line("i2", true),
					JobWorld.line("i3", false), JobWorld.line("i4", true)));

	static Stream<Arguments> callsAndFaults() {
		JobWorld world = new JobWorld(2);
		JobId id = world.entry("x").submit("k", CONTENT).join().id();
		JobWorld.Entry owner = world.entry("a").start();
		world.runToEnd(id);
		int calls = owner.faulty.calls().size();
		return IntStream.range(0, calls)
			.boxed()
			.flatMap((call) -> Stream.of(Fault.DEAD_BEFORE, Fault.DEAD_AFTER, Fault.DELAYED)
				.map((fault) -> Arguments.of(call, fault)));
	}

	// Guards against lost and duplicate results when the owner of a job crashes before
	// or after one of its store calls, or is cut off and its calls arrive after another
	// owner took over. Each item must end once, and no non-idempotent item may run
	// twice.
	@ParameterizedTest
	@MethodSource("callsAndFaults")
	void shouldCompleteOnceWhenOwnerIsLostAtAnyCall(int callNumber, Fault fault) {
		JobWorld world = new JobWorld(2);
		world.sidecars.withoutFencing();
		JobId id = world.entry("x").submit("k", CONTENT).join().id();
		JobWorld.Entry owner = world.entry("a");
		owner.faulty.plan((call) -> {
			if (call.number() >= callNumber && fault != Fault.DELAYED) {
				owner.crash();
			}
			return (call.number() >= callNumber) ? fault : Fault.NONE;
		});
		owner.start();
		for (int round = 0; round < 3; round++) {
			world.sidecars.run(FakeSidecars::answer);
			world.seconds(1);
		}
		world.entry("b").start();
		world.time.advance(JobWorld.FAILOVER);
		owner.faulty.deliver();
		owner.crash();
		JobRecord job = world.runToEnd(id);
		assertThat(job.status()).isEqualTo(JobStatus.COMPLETED);
		assertThat(job.counts().ended()).isEqualTo(ITEMS);
		assertThat(world.results(id).stream().map(ItemResult::index).toList()).containsExactly(0, 1, 2, 3, 4);
		assertStartsBounded(world, id);
	}

	private static void assertStartsBounded(JobWorld world, JobId id) {
		for (int index = 0; index < ITEMS; index++) {
			int max = (index % 2 == 1) ? 1 : 2;
			assertWithMessage("starts of item " + index)
				.that(world.sidecars.starts(new ItemId(id, 0, index, "").requestId()))
				.isAtMost(max);
		}
	}

}
