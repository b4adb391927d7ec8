package org.ragworthook.gateway.peer;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a caller who was shown a result by one entry and is told by another
 * entry, more than a second later, that there is none. Entries answer callers who poll
 * for results from the reports of the jobs' owners, not from the store.
 */
class ResultReportsSimulationTests {

	private static final int SEEDS = 100;

	/**
	 * Processes are paused, killed and cut off from others in one direction, reports are
	 * lost or wait unread, and writes are carried out although their answer is lost: each
	 * fault alone, and all together.
	 * @param pauses pauses per second of each process
	 * @param kills kills per second of each process
	 * @param cuts one-way link failures per second of each process
	 * @param losses the share of reports that are lost
	 * @param lostAnswers the share of writes whose answer is lost
	 * @param backlogs times per second at which each process begins to read reports late
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0, 0, 0, 0, 0", "0.05, 0, 0, 0, 0, 0", "0, 0.05, 0, 0, 0, 0", "0, 0, 0.1, 0, 0, 0",
			"0, 0, 0, 0.2, 0, 0", "0, 0, 0, 0, 0.3, 0", "0, 0, 0, 0, 0, 0.1", "0.03, 0.03, 0.05, 0.05, 0.1, 0",
			"0.03, 0.03, 0.05, 0.05, 0.1, 0.1", "0.01, 0.01, 0.3, 0.02, 0.3, 0" })
	void shouldNotOmitASegmentThatACallerWasShown(double pauses, double kills, double cuts, double losses,
			double lostAnswers, double backlogs) {
		ResultReportsSimulation.FaultRates faults = new ResultReportsSimulation.FaultRates(pauses, kills, cuts, losses,
				lostAnswers, backlogs);
		for (long seed = 1; seed <= SEEDS; seed++) {
			ResultReportsSimulation simulation = ResultReportsSimulation.run(seed, faults);
			assertWithMessage("seed " + seed).that(simulation.violation()).isEmpty();
		}
	}

	/**
	 * Guards against a call of the store for most polls of jobs without new results,
	 * although no fault occurs.
	 */
	@Test
	void shouldAnswerFromReportsWithoutFaults() {
		ResultReportsSimulation.FaultRates none = new ResultReportsSimulation.FaultRates(0, 0, 0, 0, 0, 0);
		int[] shares = LongStream.rangeClosed(1, 20)
			.mapToInt((seed) -> ResultReportsSimulation.run(seed, none).answeredFromReportsPerMille())
			.toArray();
		for (int share : shares) {
			assertThat(share).isAtLeast(850);
		}
		assertThat(ResultReportsSimulation.run(1, none).segments()).isAtLeast(20);
	}

}
