package org.ragworthook.gateway.suspect;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.gateway.suspect.PoisonPartSimulation.Counting;
import org.ragworthook.gateway.suspect.PoisonPartSimulation.Detecting;
import org.ragworthook.gateway.suspect.PoisonPartSimulation.Result;
import org.ragworthook.gateway.suspect.PoisonPartSimulation.Trouble;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a poison part that keeps crashing upstreams, and against sound requests
 * that are refused, while upstreams are lost for other reasons as well.
 */
class PoisonPartSimulationTests {

	private static final int SEEDS = 8;

	/** The users accept three requests after that time. */
	private static final int MAX_LATE_RUNS = 3;

	/** The number of parts that all requests begin with. */
	private static final List<Integer> SHARED_PARTS = List.of(1, 20);

	static Stream<Arguments> days() {
		return SHARED_PARTS.stream()
			.flatMap((shared) -> Stream.of(Trouble.values())
				.flatMap((trouble) -> Stream.iterate(1, (seed) -> seed <= SEEDS, (seed) -> seed + 1)
					.map((seed) -> Arguments.of(shared, trouble, seed))));
	}

	@ParameterizedTest
	@MethodSource("days")
	void shouldStopThePoisonPartAndServeTheOthers(int shared, Trouble trouble, int seed) {
		Result result = new PoisonPartSimulation(seed, shared, Detecting::of).run(true, trouble);
		assertThat(result.lateRuns()).isAtMost(MAX_LATE_RUNS);
		assertThat(result.soundRefused()).isAtMost(result.soundRequests() / 100);
	}

	@ParameterizedTest
	@MethodSource("days")
	void shouldRefuseNothingWithoutAPoisonPart(int shared, Trouble trouble, int seed) {
		Result result = new PoisonPartSimulation(seed, shared, Detecting::of).run(false, trouble);
		assertThat(result.soundRefused()).isAtMost(result.soundRequests() / 100);
	}

	/** Counting lost upstreams alone refuses most sound requests. */
	@ParameterizedTest
	@EnumSource
	void shouldBeBetterThanCountingLosses(Trouble trouble) {
		Result counting = new PoisonPartSimulation(1, 1, Counting::of).run(true, trouble);
		Result detecting = new PoisonPartSimulation(1, 1, Detecting::of).run(true, trouble);
		assertThat(detecting.soundRefused()).isLessThan(counting.soundRefused());
	}

}
