package org.ragworthook.gateway.process;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.gateway.peer.PeerCounts;

import static com.google.common.truth.Truth.assertThat;

/**
 * The conditions under which an entry reports to the balancer that it is not ready, or
 * asks callers to close their connections.
 */
class IsolationRuleTests {

	/**
	 * Guards against an entry that stays ready while it is isolated: its machine is cut
	 * off, or the store rejects this machine alone. If it is the only entry of its
	 * failure domain, the balancer sends all jobs of the domain's callers to it, and each
	 * of them is refused. If the live peers have lost the store as well, or there is no
	 * other process, the entry stays ready, since no other entry would serve callers
	 * better.
	 * @param lostMillis for how long the store has not answered, in milliseconds
	 * @param known the number of known processes
	 * @param live the number of live processes
	 * @param reachingStore the number of live processes that reach the store
	 * @param isolated whether the entry is isolated
	 */
	@ParameterizedTest
	@CsvSource({ "0, 8, 8, 8, false", "0, 8, 0, 0, false", "1, 8, 0, 0, true", "1499, 8, 8, 8, false",
			"1500, 8, 8, 8, true", "1500, 8, 8, 1, true", "9000, 8, 8, 0, false", "9000, 0, 0, 0, false" })
	void shouldBeIsolatedOnlyIfOtherEntriesCanServeCallers(long lostMillis, int known, int live, int reachingStore,
			boolean isolated) {
		assertThat(IsolationRule.isolated(Duration.ofMillis(lostMillis), new PeerCounts(known, live, reachingStore)))
			.isEqualTo(isolated);
	}

	/**
	 * Guards against callers that keep a connection to an entry that cannot serve them.
	 * @param storeLostMillis for how long the store has not answered, in milliseconds
	 * @param keysUnavailable whether the entry has no valid configuration to check keys
	 * @param known the number of known processes
	 * @param live the number of live processes
	 * @param reachingStore the number of live processes that reach the store
	 * @param expected whether callers are asked to close their connections
	 */
	@ParameterizedTest
	@CsvSource({ "0, false, 3, 3, 3, false", "0, true, 3, 3, 3, true", "0, true, 3, 3, 0, false",
			"2000, false, 3, 3, 3, true", "1000, false, 3, 3, 3, false", "1000, true, 3, 3, 1, true",
			"5000, true, 3, 3, 0, false", "5000, true, 3, 0, 0, true", "5000, true, 0, 0, 0, false" })
	void shouldShedConnectionsIfOtherEntriesCanServeCallers(long storeLostMillis, boolean keysUnavailable, int known,
			int live, int reachingStore, boolean expected) {
		boolean sheds = IsolationRule.shedsConnections(Duration.ofMillis(storeLostMillis), keysUnavailable,
				new PeerCounts(known, live, reachingStore));
		assertThat(sheds).isEqualTo(expected);
	}

}
