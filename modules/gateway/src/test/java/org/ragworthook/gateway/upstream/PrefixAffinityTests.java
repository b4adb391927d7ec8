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

/**
 * Where prompts that share long parts are sent.
 */
class PrefixAffinityTests {

	private static final int LONG = 13_300;

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private List<TrackedUpstream> fleet(int size) {
		for (int i = 0; i < size; i++) {
			this.registry.put(new UpstreamDescriptor("u-" + i, "svc", new Address("10.0.0." + i, 80), "d", 7, false));
		}
		return this.registry.serving("svc");
	}

	private static PrefixAffinity prompt(String shared, int tokens) {
		return PrefixAffinity.of(List.of(new PromptSegment(shared, tokens), new PromptSegment("own-" + shared, 250)));
	}

	@Test
	void shouldNotWeighShortParts() {
		assertThat(prompt("a", PrefixAffinity.LEAST_TOKENS - 1).weights(fleet(20))).isEmpty();
	}

	/**
	 * A part is kept along with all before it, so the same part after another one is not
	 * the same.
	 */
	@Test
	void shouldTellPartsApartByWhatComesBefore() {
		PrefixAffinity alone = PrefixAffinity.of(List.of(new PromptSegment("b", LONG)));
		PrefixAffinity after = PrefixAffinity.of(List.of(new PromptSegment("a", 10), new PromptSegment("b", LONG)));
		assertThat(alone.parts()).isNotEqualTo(after.parts());
		assertThat(new PrefixAffinity(after.parts())).isEqualTo(after);
	}

	/**
	 * An upstream leaves. The parts of the others keep their first homes; moved, they
	 * would all be read again.
	 */
	@Test
	void shouldMoveOnlyThePartsOfAnUpstreamThatLeaves() {
		List<TrackedUpstream> fleet = fleet(20);
		List<TrackedUpstream> without = fleet.subList(1, 20);
		Set<TrackedUpstream> homes = new HashSet<>();
		for (int part = 0; part < 100; part++) {
			PrefixAffinity prompt = prompt("p" + part, LONG);
			TrackedUpstream before = first(prompt.weights(fleet));
			homes.add(before);
			if (before != fleet.get(0)) {
				assertThat(first(prompt.weights(without))).isSameInstanceAs(before);
			}
		}
		assertThat(homes.size()).isAtLeast(18);
	}

	private static TrackedUpstream first(Map<TrackedUpstream, Integer> weights) {
		return weights.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
	}

	/**
	 * Many prompts with the same part come at once. The first home takes the first ones,
	 * and the next homes, which are the same for all entries, share the others with it;
	 * no prompt waits for a slot at a home while another upstream has one free.
	 */
	@Test
	void shouldGoToTheNextHomesWhenTheFirstFillsUp() {
		List<TrackedUpstream> fleet = fleet(20);
		PrefixAffinity prompt = prompt("a", LONG);
		Placement placement = Placement.of("d", ManualTime.of(), new Random(1));
		List<TrackedUpstream> chosen = new ArrayList<>();
		for (int i = 0; i < 20 * 7; i++) {
			TrackedUpstream next = placement.choose(fleet, Set.of(), SlotSharing::hasOnlineCapacity, prompt, 0)
				.orElseThrow();
			assertThat(next.onlineLoad()).isLessThan(7);
			next.begin(WorkClass.ONLINE);
			chosen.add(next);
		}
		assertThat(Set.copyOf(chosen.subList(0, 2))).containsExactly(first(prompt.weights(fleet)));
		assertThat(prompt.weights(fleet).keySet()).containsAtLeastElementsIn(Set.copyOf(chosen.subList(0, 16)));
	}

}
