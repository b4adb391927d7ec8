package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.ragworthook.gateway.upstream.PeerLoad;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * The total load of all peers at each upstream, updated incrementally: a report changes
 * the loads of its sender at some upstreams. Recomputing the totals over all peers for
 * each report would take time that grows with the square of the fleet, since the reports
 * grow with it as well.
 */
final class PeerLoadTotals {

	private final UpstreamRegistry registry;

	private final Map<InetSocketAddress, Map<Integer, PeerLoad>> byPeer = new HashMap<>();

	private final Map<Integer, PeerLoad> totals = new HashMap<>();

	PeerLoadTotals(UpstreamRegistry registry) {
		this.registry = Objects.requireNonNull(registry, "registry is null");
	}

	/**
	 * Replaces the loads of one peer and passes the changed totals to their upstreams.
	 * @param peer where the peer receives reports
	 * @param loads the peer's loads by the keys of the upstreams
	 */
	void replace(InetSocketAddress peer, Map<Integer, PeerLoad> loads) {
		Map<Integer, PeerLoad> before = this.byPeer.getOrDefault(peer, Map.of());
		this.byPeer.put(peer, loads);
		Set<Integer> changed = new HashSet<>(before.keySet());
		changed.addAll(loads.keySet());
		for (int key : changed) {
			PeerLoad total = this.totals.getOrDefault(key, PeerLoad.NONE)
				.minus(before.getOrDefault(key, PeerLoad.NONE))
				.plus(loads.getOrDefault(key, PeerLoad.NONE));
			this.totals.put(key, total);
			this.registry.byKey(key).ifPresent((upstream) -> upstream.updatePeerLoad(total));
		}
	}

	/**
	 * Removes the loads of all other peers and passes the totals to all upstreams, also
	 * to those that were registered after the last report.
	 * @param live where the peers that are live receive reports
	 */
	void retain(Set<InetSocketAddress> live) {
		for (InetSocketAddress peer : List.copyOf(this.byPeer.keySet())) {
			if (!live.contains(peer)) {
				replace(peer, Map.of());
				this.byPeer.remove(peer);
			}
		}
		this.totals.values().removeIf(PeerLoad.NONE::equals);
		for (TrackedUpstream upstream : this.registry.all()) {
			upstream.updatePeerLoad(this.totals.getOrDefault(upstream.key(), PeerLoad.NONE));
		}
	}

}
