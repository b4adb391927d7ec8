package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Several processes fill and clear the same upstreams, each with news of the others that
 * are one round old.
 */
class SlotClaimOrderTests {

	private static final int SLOTS = 8;

	private static final int UPSTREAMS = 13;

	private static List<String> names(int count) {
		return IntStream.range(0, count).mapToObj((n) -> "storage-" + n).toList();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 14 })
	void shouldGiveEachProcessAnotherRank(int processes) {
		List<String> names = names(processes);
		for (int key = 0; key < 100; key++) {
			Set<Integer> ranks = new HashSet<>();
			for (String name : names) {
				ranks.add(SlotClaimOrder.of(name, names).rank(key));
			}
			assertThat(ranks).hasSize(processes);
		}
	}

	@Test
	void shouldLetTheFirstToTakeBeTheLastToGive() {
		List<String> names = names(3);
		for (int key = 0; key < 100; key++) {
			SlotClaimOrder turns = SlotClaimOrder.of(names.get(0), names);
			int givingAfter = 0;
			for (String peer : names.subList(1, 3)) {
				givingAfter += turns.yieldsFirst(peer, key) ? 0 : 1;
			}
			assertThat(givingAfter).isEqualTo(turns.rank(key));
		}
	}

	/**
	 * The engines are full of online requests but for a slot each, and three processes
	 * have items ready. Each of them sees the same free slots and used to take them all,
	 * so that items waited at full engines, before the online requests that came next.
	 * @param free free slots of each upstream
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void shouldNotTakeTheSameSlotsInOneRound(int free) {
		Play play = new Play(3, SLOTS - free);
		play.startItems();
		play.tell();
		for (int upstream = 0; upstream < UPSTREAMS; upstream++) {
			assertThat(play.views.get(0).get(upstream).load()).isEqualTo(SLOTS);
		}
	}

	/**
	 * Engines are full, and at each an online request arrives that needs a slot. As many
	 * items are cut as there are requests, not one by each process.
	 */
	@Test
	void shouldCutOneItemForEachRequest() {
		Play play = new Play(3, 2);
		for (int round = 0; round < 4; round++) {
			play.startItems();
			play.tell();
		}
		int items = play.views.get(0).stream().mapToInt(TrackedUpstream::batchLoad).sum();
		play.views.forEach((view) -> view.forEach((upstream) -> assertThat(upstream.load()).isEqualTo(SLOTS)));
		play.online(1);
		assertThat(play.cut()).isEqualTo(UPSTREAMS);
		play.tell();
		assertThat(play.cut()).isEqualTo(0);
		assertThat(play.views.get(0).stream().mapToInt(TrackedUpstream::batchLoad).sum()).isEqualTo(items - UPSTREAMS);
	}

	/**
	 * Some processes, each with its own view of the same upstreams.
	 */
	private static final class Play {

		private final List<String> names;

		private final List<List<TrackedUpstream>> views = new ArrayList<>();

		private int entryLoad;

		private long nowNanos = 1;

		Play(int processes, int online) {
			this.names = names(processes);
			for (int process = 0; process < processes; process++) {
				List<TrackedUpstream> view = new ArrayList<>();
				for (int n = 0; n < UPSTREAMS; n++) {
					view.add(SlotSharingTests.upstream("i-" + n, "a"));
				}
				this.views.add(view);
			}
			this.entryLoad = online;
			tell();
		}

		private SlotClaimOrder turns(int process) {
			return SlotClaimOrder.of(this.names.get(process), this.names);
		}

		void online(int more) {
			this.entryLoad += more;
			tell();
		}

		void startItems() {
			for (int process = 0; process < this.views.size(); process++) {
				List<TrackedUpstream> view = this.views.get(process);
				SlotClaimOrder turns = turns(process);
				Placement placement = Placement.of("a", ManualTime.of(), new Random(process));
				while (placement
					.choose(view, Set.of(), (upstream) -> SlotSharing.hasBatchCapacity(upstream, turns, this.nowNanos))
					.map((chosen) -> {
						chosen.recordBatchStart(this.nowNanos);
						chosen.begin(WorkClass.BATCH);
						return true;
					})
					.orElse(false)) {
					assertThat(view.stream().mapToInt(TrackedUpstream::load).max().orElse(0)).isAtMost(SLOTS);
				}
			}
		}

		int cut() {
			int all = 0;
			for (List<TrackedUpstream> view : this.views) {
				for (TrackedUpstream upstream : view) {
					int count = SlotSharing.itemsToPreempt(upstream);
					all += count;
					for (int i = 0; i < count; i++) {
						upstream.end(WorkClass.BATCH);
					}
				}
			}
			return all;
		}

		/**
		 * Tells each process what all others have now, a round later.
		 */
		void tell() {
			this.nowNanos += 200_000_000L;
			Map<Integer, List<Integer>> own = new HashMap<>();
			for (int process = 0; process < this.views.size(); process++) {
				own.put(process,
						this.views.get(process).stream().map((upstream) -> upstream.ownLoad(WorkClass.BATCH)).toList());
			}
			for (int process = 0; process < this.views.size(); process++) {
				for (int n = 0; n < UPSTREAMS; n++) {
					TrackedUpstream upstream = this.views.get(process).get(n);
					PeerLoad sum = new PeerLoad(this.entryLoad, 0, 0);
					for (int peer = 0; peer < this.views.size(); peer++) {
						if (peer != process) {
							int batch = own.get(peer).get(n);
							boolean first = turns(process).yieldsFirst(this.names.get(peer), upstream.key());
							sum = sum.plus(new PeerLoad(0, batch, first ? batch : 0));
						}
					}
					upstream.updatePeerLoad(sum);
				}
			}
		}

	}

}
