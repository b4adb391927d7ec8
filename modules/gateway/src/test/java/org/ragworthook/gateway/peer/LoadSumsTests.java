package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.gateway.upstream.PeerLoad;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

class LoadSumsTests {

	private static final InetSocketAddress FIRST = new InetSocketAddress("10.0.0.1", 1);

	private static final InetSocketAddress SECOND = new InetSocketAddress("10.0.0.2", 1);

	private static final int KEY = TrackedUpstream.key("u1");

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private final LoadSums sums = new LoadSums(this.registry);

	private TrackedUpstream upstream() {
		this.registry.put(new UpstreamDescriptor("u1", "svc", new Address("10.0.0.9", 80), "a", 8, false));
		return this.registry.byKey(KEY).orElseThrow();
	}

	@Test
	void shouldReplaceWhatAPeerHad() {
		TrackedUpstream upstream = upstream();
		this.sums.replace(FIRST, Map.of(KEY, new PeerLoad(2, 1, 1)));
		this.sums.replace(SECOND, Map.of(KEY, new PeerLoad(3, 0, 0)));
		this.sums.replace(FIRST, Map.of(KEY, new PeerLoad(1, 0, 0)));
		assertThat(upstream.onlineLoad()).isEqualTo(4);
		assertThat(upstream.batchLoad()).isEqualTo(0);
		this.sums.replace(SECOND, Map.of());
		assertThat(upstream.onlineLoad()).isEqualTo(1);
	}

	/**
	 * A peer is killed and says nothing of it. Its requests would count for ever, and its
	 * share of each engine stand empty.
	 */
	@Test
	void shouldForgetPeersThatAreSilent() {
		TrackedUpstream upstream = upstream();
		this.sums.replace(FIRST, Map.of(KEY, new PeerLoad(2, 0, 0)));
		this.sums.replace(SECOND, Map.of(KEY, new PeerLoad(3, 0, 0)));
		this.sums.keep(Set.of(SECOND));
		assertThat(upstream.onlineLoad()).isEqualTo(3);
		this.sums.replace(FIRST, Map.of(KEY, new PeerLoad(1, 0, 0)));
		assertThat(upstream.onlineLoad()).isEqualTo(4);
	}

	/**
	 * Peers know a new upstream before this process does, and send requests there.
	 */
	@Test
	void shouldTellANewUpstreamWhatPeersHaveThere() {
		this.sums.replace(FIRST, Map.of(KEY, new PeerLoad(2, 0, 0)));
		TrackedUpstream upstream = upstream();
		this.sums.keep(Set.of(FIRST));
		assertThat(upstream.onlineLoad()).isEqualTo(2);
	}

}
