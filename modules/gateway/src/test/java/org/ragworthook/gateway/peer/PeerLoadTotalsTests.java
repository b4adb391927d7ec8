package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.gateway.upstream.PeerLoad;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

class PeerLoadTotalsTests {

	private static final InetSocketAddress FIRST = new InetSocketAddress("10.0.0.1", 1);

	private static final InetSocketAddress SECOND = new InetSocketAddress("10.0.0.2", 1);

	private static final int KEY = TrackedUpstream.key("u1");

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private final PeerLoadTotals totals = new PeerLoadTotals(this.registry);

	private TrackedUpstream upstream() {
		this.registry.put(new UpstreamDescriptor("u1", "svc", new Address("10.0.0.9", 80), "a", 8, false,
				SoftwareVersion.of("v1")));
		return this.registry.byKey(KEY).orElseThrow();
	}

	@Test
	void shouldReplaceTheLoadsOfAPeer() {
		TrackedUpstream upstream = upstream();
		this.totals.replace(FIRST, Map.of(KEY, new PeerLoad(2, 1, 1)));
		this.totals.replace(SECOND, Map.of(KEY, new PeerLoad(3, 0, 0)));
		this.totals.replace(FIRST, Map.of(KEY, new PeerLoad(1, 0, 0)));
		assertThat(upstream.onlineLoad()).isEqualTo(4);
		assertThat(upstream.batchLoad()).isEqualTo(0);
		this.totals.replace(SECOND, Map.of());
		assertThat(upstream.onlineLoad()).isEqualTo(1);
	}

	/**
	 * Guards against loads of a killed peer, which announces nothing, that count for ever
	 * and leave its share of each engine unused.
	 */
	@Test
	void shouldRemoveTheLoadsOfPeersThatAreNotLive() {
		TrackedUpstream upstream = upstream();
		this.totals.replace(FIRST, Map.of(KEY, new PeerLoad(2, 0, 0)));
		this.totals.replace(SECOND, Map.of(KEY, new PeerLoad(3, 0, 0)));
		this.totals.retain(Set.of(SECOND));
		assertThat(upstream.onlineLoad()).isEqualTo(3);
		this.totals.replace(FIRST, Map.of(KEY, new PeerLoad(1, 0, 0)));
		assertThat(upstream.onlineLoad()).isEqualTo(4);
	}

	/**
	 * Guards against loads that are lost because peers have sent requests to a new
	 * upstream before this process registers it.
	 */
	@Test
	void shouldPassTheTotalToANewUpstream() {
		this.totals.replace(FIRST, Map.of(KEY, new PeerLoad(2, 0, 0)));
		TrackedUpstream upstream = upstream();
		this.totals.retain(Set.of(FIRST));
		assertThat(upstream.onlineLoad()).isEqualTo(2);
	}

}
