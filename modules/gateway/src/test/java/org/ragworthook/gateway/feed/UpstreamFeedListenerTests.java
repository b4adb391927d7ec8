package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which upstreams are used during and after an outage of the platform's store.
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
		return new Change<>(id, Optional.of(new UpstreamDescriptor(id, "svc", new Address("10.0.0.1", 80), "z", 8,
				draining, SoftwareVersion.of("v1"))), 1);
	}

	private static Change<UpstreamDescriptor> removed(String id) {
		return new Change<>(id, Optional.empty(), 2);
	}

	private int serving() {
		return this.registry.serving("svc").size();
	}

	@Test
	void shouldDropARemovedUpstreamAtOnce() {
		this.listener.changed(removed("a"));
		assertThat(serving()).isEqualTo(1);
	}

	@Test
	void shouldNotUseADrainingUpstream() {
		this.listener.changed(change("a", true));
		assertThat(serving()).isEqualTo(1);
	}

	/**
	 * The store was down for longer than the lifetime of entries, so that all have
	 * expired when it is back. The upstreams are alive; if they were dropped at once,
	 * every request would be refused until their next heartbeats.
	 */
	@Test
	void shouldKeepLapsedEntriesUntilHeartbeatsAreBack() {
		this.health.recordFailure();
		this.time.advance(Duration.ofSeconds(5));
		this.health.recordSuccess();
		this.listener.listed(List.of());
		assertThat(serving()).isEqualTo(2);
		this.time.advance(Duration.ofMillis(1_000));
		this.listener.changed(change("a", false));
		this.time.advance(Duration.ofMillis(1_500));
		assertThat(this.registry.ids()).containsExactly("a");
	}

	/**
	 * The store goes down again before the entries are back. Missing entries prove
	 * nothing then.
	 */
	@Test
	void shouldKeepLapsedEntriesThroughAnotherOutage() {
		this.health.recordFailure();
		this.health.recordSuccess();
		this.listener.listed(List.of());
		this.time.advance(Duration.ofMillis(500));
		this.health.recordFailure();
		this.time.advance(Duration.ofSeconds(4));
		assertThat(serving()).isEqualTo(2);
		this.health.recordSuccess();
		this.time.advance(Duration.ofMillis(1_900));
		assertThat(serving()).isEqualTo(2);
		this.time.advance(Duration.ofMillis(4_200));
		assertThat(serving()).isEqualTo(0);
	}

	/**
	 * Guards against requests to an upstream that was removed, as long as the store cuts
	 * off waiting watches and answers every other call.
	 * @param cutMillis after which time each watch is cut off
	 * @param removedMillis when the entry is removed
	 */
	@ParameterizedTest
	@CsvSource({ "100, 5000", "1500, 5000", "1500, 6001", "1900, 5000", "2500, 5000", "2500, 7549", "9000, 9100" })
	void shouldDropARemovedUpstreamWhileWatchesAreCutOff(int cutMillis, int removedMillis) {
		long now = 0;
		long waited = 0;
		while (now < removedMillis + 2_000) {
			this.time.advance(Duration.ofMillis(1));
			now++;
			if (now == removedMillis) {
				this.listener.changed(removed("a"));
			}
			waited++;
			if (waited == cutMillis) {
				this.health.recordInterruption();
			}
			if (waited == cutMillis + 50) {
				this.health.recordSuccess();
				this.listener.listed((now < removedMillis) ? List.of(change("a", false), change("b", false))
						: List.of(change("b", false)));
				waited = 0;
			}
		}
		assertThat(this.registry.ids()).containsExactly("b");
	}

	/**
	 * Guards against dropping live upstreams whose entries expired during an outage that
	 * this process has noticed only by one unanswered call.
	 */
	@Test
	void shouldKeepLapsedEntriesAfterAnUnansweredCall() {
		this.time.advance(Duration.ofSeconds(10));
		this.health.recordUnanswered(this.time.nanos() - Duration.ofMillis(1_500).toNanos());
		this.health.recordSuccess();
		this.listener.listed(List.of());
		this.time.advance(Duration.ofMillis(1_900));
		assertThat(serving()).isEqualTo(2);
		this.listener.changed(change("a", false));
		this.time.advance(Duration.ofMillis(200));
		assertThat(this.registry.ids()).containsExactly("a");
	}

	/**
	 * Guards against an upstream that is used for longer than it may be after its entry
	 * was removed, because one call was unanswered while the store answered others.
	 */
	@Test
	void shouldDropARemovedUpstreamWhileTheStoreAnswersOtherCalls() {
		this.time.advance(Duration.ofSeconds(10));
		this.health.recordSuccess();
		this.time.advance(Duration.ofMillis(1_500));
		this.health.recordUnanswered(0);
		this.listener.listed(List.of());
		assertThat(serving()).isEqualTo(0);
	}

	/**
	 * Guards against dropping live upstreams whose entries expired during an outage that
	 * ended just before the watches were cut off.
	 */
	@Test
	void shouldKeepLapsedEntriesAfterACutThatFollowsALongWait() {
		this.health.recordSuccess();
		this.time.advance(Duration.ofSeconds(6));
		this.health.recordInterruption();
		this.time.advance(Duration.ofMillis(50));
		this.health.recordSuccess();
		this.listener.listed(List.of());
		this.time.advance(Duration.ofMillis(1_900));
		assertThat(serving()).isEqualTo(2);
		this.time.advance(Duration.ofMillis(100));
		assertThat(serving()).isEqualTo(0);
	}

	/**
	 * Guards against dropping live upstreams whose entries expired during an outage that
	 * began with a cut watch and ended before the listing after it timed out.
	 */
	@Test
	void shouldKeepLapsedEntriesAfterAListingThatWasAnsweredLate() {
		this.health.recordSuccess();
		this.time.advance(Duration.ofMillis(1_900));
		this.health.recordInterruption();
		this.time.advance(Duration.ofMillis(1_400));
		this.health.recordSuccess();
		this.listener.listed(List.of());
		this.time.advance(Duration.ofMillis(1_900));
		assertThat(serving()).isEqualTo(2);
	}

	/**
	 * An entry that cannot be parsed names no upstream.
	 */
	@Test
	void shouldDropAnEntryThatCannotBeRead() {
		this.listener.listed(List.of(change("a", false), removed("b")));
		assertThat(this.registry.ids()).containsExactly("a");
	}

}
