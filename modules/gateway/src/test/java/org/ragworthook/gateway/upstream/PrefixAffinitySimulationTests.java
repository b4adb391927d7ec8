package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Prompts that share long parts, before engines that cannot keep all of them.
 */
class PromptHomesPlayTests {

	private static final int ENGINES = 20;

	private static final int SLOTS = 7;

	private static final int MEMORY = 117_808;

	private static final int PARTS = 75;

	private static final int PART_TOKENS = 13_300;

	private static final int RUN_MILLIS = 750;

	private static final int REQUESTS = 6_000;

	/**
	 * All together the engines can keep twice what the parts take, and one of them keeps
	 * eight of them. Callers notice that their prompts are read anew: 13,300 tokens take
	 * an engine 157 ms, half of a usual goal.
	 * @param slotsTaken share of all slots that the load takes
	 * @param mostReadAgain of 100 tokens of shared parts, how many may be read again
	 */
	@ParameterizedTest
	@CsvSource({ "0.2, 10", "0.5, 15", "0.8, 30" })
	void shouldReadFewSharedPartsAgain(double slotsTaken, int mostReadAgain) {
		int spread = readAgain(slotsTaken, false);
		int withHomes = readAgain(slotsTaken, true);
		assertThat(withHomes).isAtMost(mostReadAgain);
		assertThat(withHomes).isLessThan(spread / 2);
	}

	/**
	 * Plays.
	 * @param slotsTaken share of all slots that the load takes
	 * @param homes whether prompts go to the homes of their parts
	 * @return of 100 tokens of shared parts, how many were read again
	 */
	private static int readAgain(double slotsTaken, boolean homes) {
		Random random = new Random(1);
		UpstreamRegistry registry = UpstreamRegistry.empty();
		Map<TrackedUpstream, Kept> memories = new LinkedHashMap<>();
		for (int i = 0; i < ENGINES; i++) {
			registry.put(new UpstreamDescriptor("u-" + i, "svc", new Address("10.0.0." + i, 80), "d", SLOTS, false));
		}
		List<TrackedUpstream> fleet = registry.serving("svc");
		fleet.forEach((engine) -> memories.put(engine, new Kept()));
		Placement placement = Placement.of("d", ManualTime.of(), random);
		PriorityQueue<End> ends = new PriorityQueue<>((one, other) -> Double.compare(one.at, other.at));
		Set<Integer> readBefore = new HashSet<>();
		double pause = RUN_MILLIS / (ENGINES * SLOTS * slotsTaken);
		double now = 0;
		int again = 0;
		for (int i = 0; i < REQUESTS; i++) {
			now += -Math.log(1 - random.nextDouble()) * pause;
			while (!ends.isEmpty() && ends.peek().at <= now) {
				ends.poll().engine.end(WorkClass.ONLINE);
			}
			int part = random.nextInt(PARTS);
			PrefixAffinity prompt = homes ? PrefixAffinity.of(List.of(new PromptSegment("p" + part, PART_TOKENS)))
					: PrefixAffinity.none();
			TrackedUpstream engine = placement.choose(fleet, Set.of(), SlotSharing::hasOnlineCapacity, prompt, 0)
				.orElse(fleet.get(random.nextInt(ENGINES)));
			engine.begin(WorkClass.ONLINE);
			ends.add(new End(now + RUN_MILLIS, engine));
			boolean kept = memories.get(engine).use(part);
			boolean first = readBefore.add(part);
			again += (kept || first) ? 0 : 1;
		}
		return 100 * again / REQUESTS;
	}

	/** The parts that an engine keeps; the one that was not used for longest yields. */
	private static final class Kept {

		private final List<Integer> parts = new ArrayList<>();

		boolean use(int part) {
			boolean kept = this.parts.remove((Integer) part);
			this.parts.add(part);
			if (this.parts.size() > MEMORY / PART_TOKENS) {
				this.parts.remove(0);
			}
			return kept;
		}

	}

	private record End(double at, TrackedUpstream engine) {
	}

}
