package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/** Tests where prompts that share long segments are placed. */
class PrefixAffinityTests {

	private static final int LONG_TOKENS = 13_300;

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private List<TrackedUpstream> fleet(int size) {
		for (int i = 0; i < size; i++) {
			this.registry.put(new UpstreamDescriptor("u-" + i, "svc", new Address("10.0.0." + i, 80), "d", 7, false,
					SoftwareVersion.of("v1")));
		}
		return this.registry.serving("svc");
	}

	private static PrefixAffinity affinity(String shared, int tokens) {
		return PrefixAffinity.of(List.of(new PromptSegment(shared, tokens), new PromptSegment("own-" + shared, 250)));
	}

	@Test
	void shouldIgnoreShortSegments() {
		assertThat(affinity("a", PrefixAffinity.MIN_TOKENS - 1).weights(fleet(20))).isEmpty();
	}

	/**
	 * A segment is cached together with all segments before it, so the same segment after
	 * another prefix is a different one.
	 */
	@Test
	void shouldDistinguishSegmentsByTheirPrefix() {
		PrefixAffinity alone = PrefixAffinity.of(List.of(new PromptSegment("b", LONG_TOKENS)));
		PrefixAffinity after = PrefixAffinity
			.of(List.of(new PromptSegment("a", 10), new PromptSegment("b", LONG_TOKENS)));
		assertThat(alone.segments()).isNotEqualTo(after.segments());
		assertThat(new PrefixAffinity(after.segments())).isEqualTo(after);
	}

	/**
	 * Guards against moving the segments of other upstreams when one leaves: they would
	 * all be recomputed.
	 */
	@Test
	void shouldRemapOnlyTheSegmentsOfAnUpstreamThatLeaves() {
		List<TrackedUpstream> fleet = fleet(20);
		List<TrackedUpstream> remaining = fleet.subList(1, 20);
		Set<TrackedUpstream> preferred = new HashSet<>();
		for (int segment = 0; segment < 100; segment++) {
			PrefixAffinity affinity = affinity("p" + segment, LONG_TOKENS);
			TrackedUpstream previous = mostPreferred(affinity.weights(fleet));
			preferred.add(previous);
			if (previous != fleet.get(0)) {
				assertThat(mostPreferred(affinity.weights(remaining))).isSameInstanceAs(previous);
			}
		}
		assertThat(preferred.size()).isAtLeast(18);
	}

	private static TrackedUpstream mostPreferred(Map<TrackedUpstream, Integer> weights) {
		return weights.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
	}

	/**
	 * Many prompts with the same segment arrive at once. The first preferred upstream
	 * takes the first ones and shares the others with the next preferred ones, which are
	 * the same for all entries. No prompt waits for a slot while another upstream has a
	 * free one.
	 */
	@Test
	void shouldFallBackToTheNextPreferredUpstreamsWhenTheFirstIsFull() {
		List<TrackedUpstream> fleet = fleet(20);
		PrefixAffinity affinity = affinity("a", LONG_TOKENS);
		Placement placement = Placement.of("d", ManualTime.of(), new Random(1));
		List<TrackedUpstream> chosen = new ArrayList<>();
		for (int i = 0; i < 20 * 7; i++) {
			TrackedUpstream upstream = placement.choose(fleet, Set.of(), SlotSharing::hasOnlineCapacity, affinity, 0)
				.orElseThrow();
			assertThat(upstream.onlineLoad()).isLessThan(7);
			upstream.begin(WorkClass.ONLINE);
			chosen.add(upstream);
		}
		assertThat(Set.copyOf(chosen.subList(0, 2))).containsExactly(mostPreferred(affinity.weights(fleet)));
		assertThat(affinity.weights(fleet).keySet()).containsAtLeastElementsIn(Set.copyOf(chosen.subList(0, 16)));
	}

}
