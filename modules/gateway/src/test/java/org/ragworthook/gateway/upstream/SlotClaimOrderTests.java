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
 * Tests several processes that claim and yield slots of the same upstreams, while their
 * knowledge of each other is one report interval old.
 */
class SlotClaimOrderTests {

	private static final int SLOTS = 8;

	private static final int UPSTREAMS = 13;

	private static List<String> processNames(int count) {
		return IntStream.range(0, count).mapToObj((n) -> "storage-" + n).toList();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 14 })
	void shouldGiveEachProcessADistinctRank(int processes) {
		List<String> processNames = processNames(processes);
		for (int key = 0; key < 100; key++) {
			Set<Integer> ranks = new HashSet<>();
			for (String name : processNames) {
				ranks.add(SlotClaimOrder.of(name, processNames).rank(key));
			}
			assertThat(ranks).hasSize(processes);
		}
	}

	@Test
	void shouldYieldInReverseOrderOfClaiming() {
		List<String> processNames = processNames(3);
		for (int key = 0; key < 100; key++) {
			SlotClaimOrder claimOrder = SlotClaimOrder.of(processNames.get(0), processNames);
			int yieldingAfter = 0;
			for (String peer : processNames.subList(1, 3)) {
				yieldingAfter += claimOrder.yieldsFirst(peer, key) ? 0 : 1;
			}
			assertThat(yieldingAfter).isEqualTo(claimOrder.rank(key));
		}
	}

	/**
	 * Guards against several processes claiming the same free slot, which makes their
	 * items queue at full upstreams ahead of the next online requests.
	 * @param freeSlots free slots of each upstream
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void shouldNotClaimTheSameSlotsInOneRound(int freeSlots) {
		Simulation simulation = new Simulation(3, SLOTS - freeSlots);
		simulation.startItems();
		simulation.exchangeReports();
		for (int upstream = 0; upstream < UPSTREAMS; upstream++) {
			assertThat(simulation.views.get(0).get(upstream).load()).isEqualTo(SLOTS);
		}
	}

	/**
	 * Guards against every process preempting an item when an online request needs one
	 * slot of a full upstream.
	 */
	@Test
	void shouldPreemptOneItemPerRequest() {
		Simulation simulation = new Simulation(3, 2);
		for (int round = 0; round < 4; round++) {
			simulation.startItems();
			simulation.exchangeReports();
		}
		int items = simulation.views.get(0).stream().mapToInt(TrackedUpstream::batchLoad).sum();
		simulation.views.forEach((view) -> view.forEach((upstream) -> assertThat(upstream.load()).isEqualTo(SLOTS)));
		simulation.addOnlineRequests(1);
		assertThat(simulation.preempt()).isEqualTo(UPSTREAMS);
		simulation.exchangeReports();
		assertThat(simulation.preempt()).isEqualTo(0);
		assertThat(simulation.views.get(0).stream().mapToInt(TrackedUpstream::batchLoad).sum())
			.isEqualTo(items - UPSTREAMS);
	}

	/** Some processes, each with its own view of the same upstreams. */
	private static final class Simulation {

		private final List<String> processNames;

		private final List<List<TrackedUpstream>> views = new ArrayList<>();

		private int onlineLoad;

		private long nowNanos = 1;

		Simulation(int processes, int onlineLoad) {
			this.processNames = processNames(processes);
			for (int process = 0; process < processes; process++) {
				List<TrackedUpstream> view = new ArrayList<>();
				for (int n = 0; n < UPSTREAMS; n++) {
					view.add(SlotSharingTests.upstream("i-" + n, "a"));
				}
				this.views.add(view);
			}
			this.onlineLoad = onlineLoad;
			exchangeReports();
		}

		private SlotClaimOrder claimOrder(int process) {
			return SlotClaimOrder.of(this.processNames.get(process), this.processNames);
		}

		void addOnlineRequests(int more) {
			this.onlineLoad += more;
			exchangeReports();
		}

		void startItems() {
			for (int process = 0; process < this.views.size(); process++) {
				List<TrackedUpstream> view = this.views.get(process);
				SlotClaimOrder claimOrder = claimOrder(process);
				Placement placement = Placement.of("a", ManualTime.of(), new Random(process));
				while (placement
					.choose(view, Set.of(),
							(upstream) -> SlotSharing.hasBatchCapacity(upstream, claimOrder, this.nowNanos))
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

		int preempt() {
			int preempted = 0;
			for (List<TrackedUpstream> view : this.views) {
				for (TrackedUpstream upstream : view) {
					int count = SlotSharing.itemsToPreempt(upstream);
					preempted += count;
					for (int i = 0; i < count; i++) {
						upstream.end(WorkClass.BATCH);
					}
				}
			}
			return preempted;
		}

		/** Updates the peer loads of each process, one report interval later. */
		void exchangeReports() {
			this.nowNanos += 200_000_000L;
			Map<Integer, List<Integer>> ownBatch = new HashMap<>();
			for (int process = 0; process < this.views.size(); process++) {
				ownBatch.put(process,
						this.views.get(process).stream().map((upstream) -> upstream.ownLoad(WorkClass.BATCH)).toList());
			}
			for (int process = 0; process < this.views.size(); process++) {
				for (int n = 0; n < UPSTREAMS; n++) {
					TrackedUpstream upstream = this.views.get(process).get(n);
					PeerLoad sum = new PeerLoad(this.onlineLoad, 0, 0);
					for (int peer = 0; peer < this.views.size(); peer++) {
						if (peer != process) {
							int batch = ownBatch.get(peer).get(n);
							boolean yieldsFirst = claimOrder(process).yieldsFirst(this.processNames.get(peer),
									upstream.key());
							sum = sum.plus(new PeerLoad(0, batch, yieldsFirst ? batch : 0));
						}
					}
					upstream.updatePeerLoad(sum);
				}
			}
		}

	}

}
