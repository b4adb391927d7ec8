package org.ragworthook.gateway.process;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.gateway.peer.PeerCounts;

import static com.google.common.truth.Truth.assertThat;

/**
 * When an entry asks the balancer to send callers elsewhere.
 */
class IsolationRuleTests {

	/**
	 * A machine is cut off, or the store turns it away alone, and callers of its failure
	 * domain have no other entry. As long as it calls itself ready their jobs are refused
	 * at each try. When the store is away from everybody, or there is no other process,
	 * leaving callers to others helps nobody.
	 * @param lostMillis for how long the store has not answered
	 * @param known processes that are known
	 * @param heard those that are heard
	 * @param reaching those that reach the store
	 * @param isolated whether the entry is cut off
	 */
	@ParameterizedTest
	@CsvSource({ "0, 8, 8, 8, false", "0, 8, 0, 0, false", "1, 8, 0, 0, true", "1499, 8, 8, 8, false",
			"1500, 8, 8, 8, true", "1500, 8, 8, 1, true", "9000, 8, 8, 0, false", "9000, 0, 0, 0, false" })
	void shouldLeaveCallersToOthersWhoServeThem(long lostMillis, int known, int heard, int reaching, boolean isolated) {
		assertThat(IsolationRule.isolated(Duration.ofMillis(lostMillis), new PeerCounts(known, heard, reaching)))
			.isEqualTo(isolated);
	}

	/**
	 * Guards against callers that keep a connection to an entry that cannot serve them.
	 */
	@ParameterizedTest
	@CsvSource({ "0, false, 3, 3, 3, false", "0, true, 3, 3, 3, true", "0, true, 3, 3, 0, false",
			"2000, false, 3, 3, 3, true", "1000, false, 3, 3, 3, false", "1000, true, 3, 3, 1, true",
			"5000, true, 3, 3, 0, false", "5000, true, 3, 0, 0, true", "5000, true, 0, 0, 0, false" })
	void shouldShedConnectionsWhereOthersServe(long storeLostMillis, boolean keysLost, int known, int heard,
			int reaching, boolean expected) {
		boolean sheds = IsolationRule.shedsConnections(Duration.ofMillis(storeLostMillis), keysLost,
				new PeerCounts(known, heard, reaching));
		assertThat(sheds).isEqualTo(expected);
	}

}
