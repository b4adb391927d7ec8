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
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

class DispatcherTests {

	private final ManualTime time = ManualTime.of();

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private final Said said = new Said();

	private final Dispatcher dispatcher = Dispatcher.of(this.registry, this.time, new Random(1), 0, this.said);

	private TrackedUpstream upstream(String id, int slots) {
		this.registry.put(new UpstreamDescriptor(id, "svc", new Address("10.0.0.1", 80), "d1", slots, false));
		return this.registry.byKey(TrackedUpstream.key(id)).orElseThrow();
	}

	private SlotRequest request(String entry, long number, Integer... except) {
		return new SlotRequest(entry, number, "r", "svc", "d1", Set.of(except), PrefixAffinity.none(),
				this.time.nanos(), this.time.nanos() + 1_000_000);
	}

	/**
	 * Two entries ask for the same free slot before the first has told that it uses it.
	 * Given to both, one request waits at the engine for a whole run.
	 */
	@Test
	void shouldGiveASlotOnce() {
		upstream("u1", 1);
		this.dispatcher.ask(request("e1", 1));
		this.dispatcher.ask(request("e2", 1));
		assertThat(this.said.granted).containsExactly("e1/1 u1");
		assertThat(this.said.waiting).containsExactly("e2/1");
	}

	/**
	 * An entry reports its load with the grant counted. From then on the report counts
	 * the slot, and when the run ends the next in line gets it.
	 */
	@Test
	void shouldGiveTheSlotOnWhenTheRunHasEnded() {
		TrackedUpstream upstream = upstream("u1", 1);
		this.dispatcher.ask(request("e1", 1));
		this.dispatcher.ask(request("e2", 1));
		upstream.updatePeerLoad(new PeerLoad(1, 0, 0));
		this.dispatcher.seen("e1", 1);
		this.dispatcher.changed();
		assertThat(this.said.granted).hasSize(1);
		upstream.updatePeerLoad(PeerLoad.NONE);
		this.dispatcher.changed();
		assertThat(this.said.granted).containsExactly("e1/1 u1", "e2/1 u1").inOrder();
	}

	/**
	 * The datagram with a grant is lost, and the entry asks again: it is told of the same
	 * slot, not given a second one.
	 */
	@Test
	void shouldRepeatAGrantThatWasLost() {
		TrackedUpstream upstream = upstream("u1", 2);
		this.dispatcher.ask(request("e1", 1));
		this.dispatcher.ask(request("e1", 1));
		assertThat(this.said.granted).containsExactly("e1/1 u1", "e1/1 u1");
		assertThat(upstream.onlineLoad()).isEqualTo(1);
	}

	/**
	 * An entry is killed right after it was given a slot. Kept for it, the slot would
	 * stand empty until the dispatcher is started anew.
	 */
	@Test
	void shouldTakeASlotBackOfWhichNothingIsHeard() {
		TrackedUpstream upstream = upstream("u1", 1);
		this.dispatcher.ask(request("e1", 1));
		this.time.advance(GrantLedger.KEPT);
		this.dispatcher.expire();
		assertThat(upstream.onlineLoad()).isEqualTo(0);
	}

	/**
	 * An entry is killed while its request waits. A slot given to it would stand empty
	 * for a moment, at the time when slots are scarcest.
	 */
	@Test
	void shouldForgetWhoNoLongerAsks() {
		TrackedUpstream upstream = upstream("u1", 1);
		upstream.updatePeerLoad(new PeerLoad(1, 0, 0));
		this.dispatcher.ask(request("e1", 1));
		assertThat(this.dispatcher.waiting()).isEqualTo(1);
		this.time.advance(Duration.ofMillis(500));
		this.dispatcher.expire();
		assertThat(this.dispatcher.waiting()).isEqualTo(0);
	}

	/**
	 * Batch items hold the only slots. Online requests get them, and the entry is told
	 * that an item has to leave.
	 */
	@Test
	void shouldGiveSlotsThatBatchHolds() {
		upstream("u1", 1).updatePeerLoad(new PeerLoad(0, 1, 0));
		this.dispatcher.ask(request("e1", 1));
		assertThat(this.said.granted).containsExactly("e1/1 u1 yields");
	}

	@Test
	void shouldNotChooseWhatTheEntryExcepts() {
		upstream("u1", 4);
		upstream("u2", 4);
		this.dispatcher.ask(request("e1", 1, TrackedUpstream.key("u1")));
		assertThat(this.said.granted).containsExactly("e1/1 u2");
	}

	/**
	 * Keeps what was said.
	 */
	private static final class Said implements Dispatcher.Answers {

		private final List<String> granted = new ArrayList<>();

		private final List<String> waiting = new ArrayList<>();

		@Override
		public void granted(SlotRequest request, GrantLedger.Grant grant, boolean yields) {
			this.granted
				.add(request.entry() + "/" + request.number() + " " + grant.upstream() + (yields ? " yields" : ""));
		}

		@Override
		public void waits(SlotRequest request) {
			this.waiting.add(request.entry() + "/" + request.number());
		}

	}

}
