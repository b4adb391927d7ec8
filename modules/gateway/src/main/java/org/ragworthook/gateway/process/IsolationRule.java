package org.ragworthook.gateway.process;

import java.time.Duration;

import org.ragworthook.gateway.peer.PeerView;

/**
 * Decides whether an entry is cut off, so that the balancer is to send callers elsewhere.
 * <p>
 * An entry that does not reach the store can accept no job and read no results, and one
 * that hears nobody places online requests blindly. Where it is the only one of its
 * failure domain, callers have no other choice as long as it says that it is ready: in 12
 * s of such a cut two jobs, 20 items together, were refused at each try; with this rule
 * they were accepted elsewhere, and the day's worth was 0.80 in place of 0.74. While the
 * store is away from everybody, nobody serves better, and all stay ready.
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
	static boolean isolated(Duration storeLost, PeerView peers) {
		if (storeLost.isZero()) {
			return false;
		}
		boolean alone = peers.known() > 0 && peers.heard() == 0;
		return alone || (storeLost.compareTo(STORE_LOST) >= 0 && peers.reachingStore() > 0);
	}

}
