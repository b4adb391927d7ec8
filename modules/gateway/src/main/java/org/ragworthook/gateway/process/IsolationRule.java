package org.ragworthook.gateway.process;

import java.time.Duration;

import org.ragworthook.gateway.peer.PeerCounts;

/**
 * Decides whether an entry is cut off, so that callers are to go elsewhere.
 * <p>
 * An entry that does not reach the store can accept no job and confirm no key, and one
 * that hears nobody places online requests blindly. While the store is away from
 * everybody, nobody serves better, and all stay in use.
 */
final class IsolationRule {

	/**
	 * How long the store may be silent to this process alone: longer than single calls
	 * that are lost or refused.
	 */
	static final Duration STORE_LOST = Duration.ofMillis(1_500);

	private IsolationRule() {
	}

	/**
	 * Decides.
	 * @param storeLost for how long the store has not answered, zero while it does
	 * @param peers what is heard of the other processes
	 * @return whether this process is cut off
	 */
	static boolean isolated(Duration storeLost, PeerCounts peers) {
		if (storeLost.isZero()) {
			return false;
		}
		boolean alone = peers.known() > 0 && peers.live() == 0;
		return alone || (storeLost.compareTo(STORE_LOST) >= 0 && peers.reachingStore() > 0);
	}

	/**
	 * Decides whether callers are to leave the connections that they keep. The balancer
	 * only keeps new ones away from an entry that is not ready.
	 * @param storeLost for how long the store has not answered, zero while it does
	 * @param keysLost whether no key can be relied on
	 * @param peers what is heard of the other processes
	 * @return whether another entry is likely to serve them
	 */
	static boolean shedsConnections(Duration storeLost, boolean keysLost, PeerCounts peers) {
		return isolated(storeLost, peers) || (keysLost && peers.reachingStore() > 0);
	}

}
