package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which upstreams are used while and after the platform's store is away.
 */
class UpstreamFeedListenerTests {

	private final ManualTime time = ManualTime.of();

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private final StoreHealth health = StoreHealth.of(this.time);

	private final UpstreamFeedListener listener = UpstreamFeedListener.of(this.registry, this.health, this.time);

	@BeforeEach
	void list() {
		this.listener.listed(List.of(change("a", false), change("b", false)));
	}

	private static Change<UpstreamDescriptor> change(String id, boolean draining) {
		return new Change<>(id,
				Optional.of(new UpstreamDescriptor(id, "svc", new Address("10.0.0.1", 80), "z", 8, draining)));
	}

	private static Change<UpstreamDescriptor> gone(String id) {
		return new Change<>(id, Optional.empty());
	}

	private int serving() {
		return this.registry.serving("svc").size();
	}

	@Test
	void shouldDropAtOnceWhatIsRemoved() {
		this.listener.changed(gone("a"));
		assertThat(serving()).isEqualTo(1);
	}

	@Test
	void shouldNotUseWhatDrains() {
		this.listener.changed(change("a", true));
		assertThat(serving()).isEqualTo(1);
	}

	/**
	 * The store was away for longer than entries last, so that all have lapsed when it is
	 * back. The runners live; dropped at once, every request would be refused until their
	 * next heartbeats.
	 */
	@Test
	void shouldKeepLapsedEntriesUntilHeartbeatsAreBack() {
		this.health.failed();
		this.time.advance(Duration.ofSeconds(5));
		this.health.answered();
		this.listener.listed(List.of());
		assertThat(serving()).isEqualTo(2);
		this.time.advance(Duration.ofMillis(1_000));
		this.listener.changed(change("a", false));
		this.time.advance(Duration.ofMillis(1_500));
		assertThat(this.registry.ids()).containsExactly("a");
	}

	/**
	 * The store goes away again before the entries are back. What is missing then says
	 * nothing yet.
	 */
	@Test
	void shouldKeepLapsedEntriesThroughAnotherOutage() {
		this.health.failed();
		this.health.answered();
		this.listener.listed(List.of());
		this.time.advance(Duration.ofMillis(500));
		this.health.failed();
		this.time.advance(Duration.ofSeconds(4));
		assertThat(serving()).isEqualTo(2);
		this.health.answered();
		this.time.advance(Duration.ofMillis(1_900));
		assertThat(serving()).isEqualTo(2);
		this.time.advance(Duration.ofMillis(4_200));
		assertThat(serving()).isEqualTo(0);
	}

	/**
	 * An entry that can no longer be read names no upstream.
	 */
	@Test
	void shouldDropAnEntryThatCannotBeRead() {
		this.listener.listed(List.of(change("a", false), gone("b")));
		assertThat(this.registry.ids()).containsExactly("a");
	}

}
