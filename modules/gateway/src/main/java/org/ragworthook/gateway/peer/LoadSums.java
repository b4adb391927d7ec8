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
 * What the peers have at each upstream, added up. A report changes what its sender has at
 * some upstreams; adding up all peers anew for each would take time that grows with the
 * square of the fleet, since the reports grow with it as well.
 */
final class LoadSums {

	private final UpstreamRegistry registry;

	private final Map<InetSocketAddress, Map<Integer, PeerLoad>> byPeer = new HashMap<>();

	private final Map<Integer, PeerLoad> sums = new HashMap<>();

	LoadSums(UpstreamRegistry registry) {
		this.registry = Objects.requireNonNull(registry, "registry is null");
	}

	/**
	 * Takes what one peer has now, in place of what it had.
	 * @param peer where the peer takes reports
	 * @param loads what it has at upstreams, by their keys
	 */
	void replace(InetSocketAddress peer, Map<Integer, PeerLoad> loads) {
		Map<Integer, PeerLoad> before = this.byPeer.getOrDefault(peer, Map.of());
		this.byPeer.put(peer, loads);
		Set<Integer> changed = new HashSet<>(before.keySet());
		changed.addAll(loads.keySet());
		for (int key : changed) {
			PeerLoad sum = this.sums.getOrDefault(key, PeerLoad.NONE)
				.minus(before.getOrDefault(key, PeerLoad.NONE))
				.plus(loads.getOrDefault(key, PeerLoad.NONE));
			this.sums.put(key, sum);
			this.registry.byKey(key).ifPresent((upstream) -> upstream.updatePeerLoad(sum));
		}
	}

	/**
	 * Forgets all peers but some, and tells upstreams that are new what is there.
	 * @param heard where the peers that are heard take reports
	 */
	void keep(Set<InetSocketAddress> heard) {
		for (InetSocketAddress peer : List.copyOf(this.byPeer.keySet())) {
			if (!heard.contains(peer)) {
				replace(peer, Map.of());
				this.byPeer.remove(peer);
			}
		}
		this.sums.values().removeIf(PeerLoad.NONE::equals);
		for (TrackedUpstream upstream : this.registry.all()) {
			upstream.updatePeerLoad(this.sums.getOrDefault(upstream.key(), PeerLoad.NONE));
		}
	}

}
