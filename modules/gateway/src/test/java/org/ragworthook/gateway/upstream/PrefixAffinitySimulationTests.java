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
 * Simulates prompts that share long segments, and upstreams whose prefix caches cannot
 * hold all of them.
 */
class PrefixAffinitySimulationTests {

	private static final int ENGINES = 20;

	private static final int SLOTS = 7;

	private static final int CACHE_TOKENS = 117_808;

	private static final int SEGMENTS = 75;

	private static final int SEGMENT_TOKENS = 13_300;

	private static final int RUN_MILLIS = 750;

	private static final int REQUESTS = 6_000;

	/**
	 * Guards against spreading shared segments over all upstreams, where they evict each
	 * other from the caches. All caches together have room for twice the segments, and
	 * one cache holds eight of them. An upstream takes 157 ms to compute 13,300 tokens,
	 * half of a typical latency target.
	 * @param utilization the fraction of all slots in use
	 * @param maxRecomputedPercent the percentage of shared segments that may be
	 * recomputed
	 */
	@ParameterizedTest
	@CsvSource({ "0.2, 10", "0.5, 15", "0.8, 30" })
	void shouldRecomputeFewSharedSegments(double utilization, int maxRecomputedPercent) {
		int withoutAffinity = recomputedPercent(utilization, false);
		int withAffinity = recomputedPercent(utilization, true);
		assertThat(withAffinity).isAtMost(maxRecomputedPercent);
		assertThat(withAffinity).isLessThan(withoutAffinity / 2);
	}

	/**
	 * Runs the simulation.
	 * @param utilization the fraction of all slots in use
	 * @param affinity whether prompts are placed by prefix affinity
	 * @return the percentage of shared segments that were recomputed
	 */
	private static int recomputedPercent(double utilization, boolean affinity) {
		Random random = new Random(1);
		UpstreamRegistry registry = UpstreamRegistry.empty();
		Map<TrackedUpstream, PrefixCache> caches = new LinkedHashMap<>();
		for (int i = 0; i < ENGINES; i++) {
			registry.put(new UpstreamDescriptor("u-" + i, "svc", new Address("10.0.0." + i, 80), "d", SLOTS, false,
					SoftwareVersion.of("v1")));
		}
		List<TrackedUpstream> fleet = registry.serving("svc");
		fleet.forEach((upstream) -> caches.put(upstream, new PrefixCache()));
		Placement placement = Placement.of("d", ManualTime.of(), random);
		PriorityQueue<End> ends = new PriorityQueue<>((one, other) -> Double.compare(one.atMillis, other.atMillis));
		Set<Integer> computedBefore = new HashSet<>();
		double meanIntervalMillis = RUN_MILLIS / (ENGINES * SLOTS * utilization);
		double nowMillis = 0;
		int recomputed = 0;
		for (int i = 0; i < REQUESTS; i++) {
			nowMillis += -Math.log(1 - random.nextDouble()) * meanIntervalMillis;
			while (!ends.isEmpty() && ends.peek().atMillis <= nowMillis) {
				ends.poll().upstream.end(WorkClass.ONLINE);
			}
			int segment = random.nextInt(SEGMENTS);
			PrefixAffinity prefixAffinity = affinity
					? PrefixAffinity.of(List.of(new PromptSegment("p" + segment, SEGMENT_TOKENS)))
					: PrefixAffinity.none();
			TrackedUpstream upstream = placement
				.choose(fleet, Set.of(), SlotSharing::hasOnlineCapacity, prefixAffinity, 0)
				.orElse(fleet.get(random.nextInt(ENGINES)));
			upstream.begin(WorkClass.ONLINE);
			ends.add(new End(nowMillis + RUN_MILLIS, upstream));
			boolean cached = caches.get(upstream).use(segment);
			boolean first = computedBefore.add(segment);
			recomputed += (cached || first) ? 0 : 1;
		}
		return 100 * recomputed / REQUESTS;
	}

	/** A least recently used cache of the segments of one upstream. */
	private static final class PrefixCache {

		private final List<Integer> segments = new ArrayList<>();

		boolean use(int segment) {
			boolean cached = this.segments.remove((Integer) segment);
			this.segments.add(segment);
			if (this.segments.size() > CACHE_TOKENS / SEGMENT_TOKENS) {
				this.segments.remove(0);
			}
			return cached;
		}

	}

	private record End(double atMillis, TrackedUpstream upstream) {
	}

}
