package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.PeerLoad;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

class DispatcherTests {

	private final ManualTime time = ManualTime.of();

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private final RecordedAnswers answers = new RecordedAnswers();

	private final Dispatcher dispatcher = Dispatcher.of(this.registry, this.time, new Random(1), 0, this.answers);

	private TrackedUpstream upstream(String id, int slots) {
		this.registry.put(new UpstreamDescriptor(id, "svc", new Address("10.0.0.1", 80), "d1", slots, false,
				SoftwareVersion.of("v1")));
		return this.registry.byKey(TrackedUpstream.key(id)).orElseThrow();
	}

	private SlotRequest request(String entry, long number, Integer... excluded) {
		return new SlotRequest(entry, number, "r", "svc", "d1", Set.of(excluded), PrefixAffinity.none(),
				this.time.nanos(), this.time.nanos() + 1_000_000);
	}

	/**
	 * Guards against granting a free slot to a second entry before the first one has
	 * reported its use, which makes one request wait at the upstream until the other has
	 * ended.
	 */
	@Test
	void shouldGrantASlotOnce() {
		upstream("u1", 1);
		this.dispatcher.handle(request("e1", 1));
		this.dispatcher.handle(request("e2", 1));
		assertThat(this.answers.granted).containsExactly("e1/1 u1");
		assertThat(this.answers.queued).containsExactly("e2/1");
	}

	/**
	 * Once an entry reports its load including the grant, the slot is counted by the
	 * report, and when the request ends the next queued request is granted the slot.
	 */
	@Test
	void shouldGrantTheSlotAgainWhenTheRequestHasEnded() {
		TrackedUpstream upstream = upstream("u1", 1);
		this.dispatcher.handle(request("e1", 1));
		this.dispatcher.handle(request("e2", 1));
		upstream.updatePeerLoad(new PeerLoad(1, 0, 0));
		this.dispatcher.grantsCounted("e1", 1);
		this.dispatcher.loadsChanged();
		assertThat(this.answers.granted).hasSize(1);
		upstream.updatePeerLoad(PeerLoad.NONE);
		this.dispatcher.loadsChanged();
		assertThat(this.answers.granted).containsExactly("e1/1 u1", "e2/1 u1").inOrder();
	}

	/**
	 * The datagram with a grant is lost and the entry sends the request again: it is
	 * granted the same slot, not a second one.
	 */
	@Test
	void shouldRepeatALostGrant() {
		TrackedUpstream upstream = upstream("u1", 2);
		this.dispatcher.handle(request("e1", 1));
		this.dispatcher.handle(request("e1", 1));
		assertThat(this.answers.granted).containsExactly("e1/1 u1", "e1/1 u1");
		assertThat(upstream.onlineLoad()).isEqualTo(1);
	}

	/**
	 * Guards against a slot that stays reserved until the dispatcher restarts, for an
	 * entry that was killed right after the grant.
	 */
	@Test
	void shouldReleaseAGrantThatIsNeverReported() {
		TrackedUpstream upstream = upstream("u1", 1);
		this.dispatcher.handle(request("e1", 1));
		this.time.advance(GrantLedger.GRANT_EXPIRY);
		this.dispatcher.expire();
		assertThat(upstream.onlineLoad()).isEqualTo(0);
	}

	/**
	 * Guards against granting a slot to an entry that was killed while its request was
	 * queued: the slot would stay empty when slots are scarcest.
	 */
	@Test
	void shouldForgetRequestsThatAreNotResent() {
		TrackedUpstream upstream = upstream("u1", 1);
		upstream.updatePeerLoad(new PeerLoad(1, 0, 0));
		this.dispatcher.handle(request("e1", 1));
		assertThat(this.dispatcher.queuedRequests()).isEqualTo(1);
		this.time.advance(Duration.ofMillis(500));
		this.dispatcher.expire();
		assertThat(this.dispatcher.queuedRequests()).isEqualTo(0);
	}

	/**
	 * Batch items hold the only slots. An online request is granted one, and its entry is
	 * told that an item has to be preempted.
	 */
	@Test
	void shouldGrantSlotsHeldByBatchItems() {
		upstream("u1", 1).updatePeerLoad(new PeerLoad(0, 1, 0));
		this.dispatcher.handle(request("e1", 1));
		assertThat(this.answers.granted).containsExactly("e1/1 u1 preempts");
	}

	@Test
	void shouldNotChooseExcludedUpstreams() {
		upstream("u1", 4);
		upstream("u2", 4);
		this.dispatcher.handle(request("e1", 1, TrackedUpstream.key("u1")));
		assertThat(this.answers.granted).containsExactly("e1/1 u2");
	}

	/** Records the answers. */
	private static final class RecordedAnswers implements Dispatcher.AnswerSink {

		private final List<String> granted = new ArrayList<>();

		private final List<String> queued = new ArrayList<>();

		@Override
		public void granted(SlotRequest request, GrantLedger.Grant grant, boolean preempts) {
			this.granted
				.add(request.entry() + "/" + request.number() + " " + grant.upstream() + (preempts ? " preempts" : ""));
		}

		@Override
		public void queued(SlotRequest request) {
			this.queued.add(request.entry() + "/" + request.number());
		}

	}

}
