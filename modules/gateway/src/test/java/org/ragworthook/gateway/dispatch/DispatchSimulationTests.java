package org.ragworthook.gateway.dispatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Plays bursts that take nearly all slots of a fleet, and looks at what callers get.
 */
class DispatchPlayTests {

	private static final int PLAYED_MILLIS = 17_400;

	private static final int NEVER = Integer.MAX_VALUE;

	/** In the middle of the second burst. */
	private static final int SECOND_BURST = 10_000;

	/** What callers accept in a burst that takes nine tenths of the slots and more. */
	private static final double LATE_ACCEPTED = 30;

	/**
	 * Bursts of 2.4 s need as many slots as there are, and a few more at their end. Each
	 * entry chooses an engine by what it has heard up to a tenth of a second ago;
	 * requests wait in the order of arrival of one engine while another has a slot free,
	 * and callers see first events after half a second.
	 * @param entries how many entries there are
	 */
	@ParameterizedTest
	@CsvSource({ "28", "60" })
	void shouldServeABurstInTime(int entries) {
		double alone = new FleetPlay(entries, false, NEVER, 1).latePerThousand(PLAYED_MILLIS);
		double dispatched = new FleetPlay(entries, true, NEVER, 1).latePerThousand(PLAYED_MILLIS);
		assertThat(alone).isGreaterThan(2 * LATE_ACCEPTED);
		assertThat(dispatched).isAtMost(LATE_ACCEPTED);
	}

	/**
	 * A burst needs a fifth more slots than a small fleet has. Served in order of arrival
	 * everybody waits for those before, and callers who came late in the burst all miss
	 * their goal; with those first who can still be in time, only the excess is late.
	 */
	@Test
	void shouldMakeOnlyTheExcessLate() {
		double alone = new FleetPlay(4, false, NEVER, 1).latePerThousand(PLAYED_MILLIS);
		double dispatched = new FleetPlay(4, true, NEVER, 1).latePerThousand(PLAYED_MILLIS);
		assertThat(dispatched).isLessThan(alone / 3);
	}

	/**
	 * The dispatcher's machine loses power in the middle of a burst, and nobody takes its
	 * place. Requests that wait for its word would be held until their callers give up;
	 * instead each entry chooses for itself, as it would without a dispatcher.
	 */
	@Test
	void shouldServeAsBeforeWhenTheDispatcherIsGone() {
		FleetPlay alone = new FleetPlay(28, false, NEVER, 1);
		FleetPlay left = new FleetPlay(28, true, SECOND_BURST, 1);
		double before = alone.latePerThousand(PLAYED_MILLIS);
		double after = left.latePerThousand(PLAYED_MILLIS);
		assertThat(after).isAtMost(before + LATE_ACCEPTED);
		assertThat(left.longestMillis()).isAtMost(alone.longestMillis() + 1_000);
	}

}
