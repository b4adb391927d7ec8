package org.ragworthook.gateway.process;

import java.time.Duration;

import org.ragworthook.gateway.peer.PeerCounts;

/**
 * Decides whether an entry is isolated by a network partition, so that callers should use
 * other entries.
 * <p>
 * An entry that does not reach the store can accept no job and confirm no key, and one
 * that receives no reports of peers places online requests without knowing the loads.
 * While no process reaches the store, no other entry would serve callers better, and all
 * stay in use.
 */
final class IsolationRule {

	/**
	 * How long the store must have failed to answer before it counts as lost to this
	 * process: longer than after single calls that are lost or refused.
	 */
	static final Duration STORE_LOST_TIMEOUT = Duration.ofMillis(1_500);

	private IsolationRule() {
	}

	/**
	 * Returns whether this process is isolated.
	 * @param storeLost for how long the store has not answered, zero while it does
	 * @param peers the counts of the other processes
	 * @return whether callers should use other entries
	 */
	static boolean isolated(Duration storeLost, PeerCounts peers) {
		if (storeLost.isZero()) {
			return false;
		}
		boolean alone = peers.known() > 0 && peers.live() == 0;
		return alone || (storeLost.compareTo(STORE_LOST_TIMEOUT) >= 0 && peers.reachingStore() > 0);
	}

	/**
	 * Returns whether this process should ask callers to close their persistent
	 * connections. The balancer only keeps new connections away from an entry that is not
	 * ready.
	 * @param storeLost for how long the store has not answered, zero while it does
	 * @param keysUnavailable whether this process has no valid configuration to check
	 * keys against
	 * @param peers the counts of the other processes
	 * @return whether another entry is likely to serve the callers
	 */
	static boolean shedsConnections(Duration storeLost, boolean keysUnavailable, PeerCounts peers) {
		return isolated(storeLost, peers) || (keysUnavailable && peers.reachingStore() > 0);
	}

}
