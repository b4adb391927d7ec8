package org.ragworthook.gateway.peer;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Entries answer callers who look for results by what the owners of jobs tell, and not by
 * the store. A caller who was shown a result by one entry must not be told by another
 * one, more than a second later, that there is none.
 */
class ListingPlayTests {

	private static final int SEEDS = 100;

	/**
	 * Processes are paused, killed, cut off from each other one way, and writes are
	 * carried out though their answer is lost, alone and together.
	 * @param pauses pauses a second of each process
	 * @param kills kills
	 * @param cuts cuts
	 * @param losses share of lost reports
	 * @param lostAnswers share of lost answers of the store
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0, 0, 0, 0", "0.05, 0, 0, 0, 0", "0, 0.05, 0, 0, 0", "0, 0, 0.1, 0, 0", "0, 0, 0, 0.2, 0",
			"0, 0, 0, 0, 0.3", "0.03, 0.03, 0.05, 0.05, 0.1", "0.01, 0.01, 0.3, 0.02, 0.3" })
	void shouldNotDenyWhatACallerWasShown(double pauses, double kills, double cuts, double losses, double lostAnswers) {
		ListingPlay.Troubles troubles = new ListingPlay.Troubles(pauses, kills, cuts, losses, lostAnswers);
		for (long seed = 1; seed <= SEEDS; seed++) {
			ListingPlay play = ListingPlay.run(seed, troubles);
			assertWithMessage("seed " + seed).that(play.denied()).isEmpty();
		}
	}

	/**
	 * On a calm day nearly all looks for results that are not there need no call.
	 */
	@Test
	void shouldAnswerFromNewsOnACalmDay() {
		ListingPlay.Troubles none = new ListingPlay.Troubles(0, 0, 0, 0, 0);
		int[] shares = LongStream.rangeClosed(1, 20)
			.mapToInt((seed) -> ListingPlay.run(seed, none).byNewsPerMille())
			.toArray();
		for (int share : shares) {
			assertThat(share).isAtLeast(850);
		}
		assertThat(ListingPlay.run(1, none).segments()).isAtLeast(20);
	}

}
