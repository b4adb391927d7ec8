package org.ragworthook.standin.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Function;

import org.HdrHistogram.Histogram;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.routing.Choice;
import org.ragworthook.core.routing.RouteRequest;
import org.ragworthook.core.routing.RouteTable;
import org.ragworthook.core.routing.Router;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.time.Ticker;

/**
 * Measures how long the choice of an upstream takes by the number of upstreams, and how
 * many requests meet their prompt's beginning in a cache.
 */
public final class RoutingBench {

	private static final int[] SIZES = { 13, 1_400, 11_000 };

	private static final int WARM_UP = 300_000;

	private static final int CHOICES = 500_000;

	/** Choices between two looks at the clock, which itself takes some 20 ns. */
	private static final int GROUP = 10;

	private static final int DOMAINS = 4;

	private static final int IN_FLIGHT = 4;

	private static final int CACHED_PREFIXES = 40;

	private static final int PREFIXES = 1_000;

	private final long seed;

	/**
	 * Creates a benchmark.
	 * @param seed of the random numbers
	 */
	public RoutingBench(long seed) {
		this.seed = seed;
	}

	/**
	 * Runs it.
	 * @return the report, one line a measurement
	 */
	public List<String> run() {
		List<String> lines = new ArrayList<>();
		lines.add("decision time in ns, mean of " + GROUP + " choices, seed " + this.seed);
		lines.add("upstreams  request      p50      p99    p99.9");
		for (int size : SIZES) {
			lines.add(decision(size, false));
			lines.add(decision(size, true));
		}
		lines.add("prefix hits, 13 upstreams, cache of " + CACHED_PREFIXES + " of " + PREFIXES
				+ " prefixes each, popularity 1/rank");
		lines.add("policy             hit share   busiest upstream / mean");
		Random random = new Random(this.seed);
		lines.add(hits("random", 0, (prefix) -> OptionalLong.empty(), random));
		lines.add(hits("least outstanding", 1, (prefix) -> OptionalLong.empty(), random));
		lines.add(hits("prefix, bounded", 1, (prefix) -> OptionalLong.of(spread(prefix)), random));
		return lines;
	}

	private static List<Upstream> upstreams(int size) {
		List<Upstream> upstreams = new ArrayList<>(size);
		for (int i = 0; i < size; i++) {
			upstreams.add(Upstream.of(new Instance("sidecar-" + i, Role.SIDECAR, "desk",
					FailureDomain.of("region", "domain-" + i % DOMAINS), new Address("127.0.0.1", 7_000), false)));
		}
		return upstreams;
	}

	private static long spread(long value) {
		return value * 0x9E3779B97F4A7C15L;
	}

	// -- decision time

	private String decision(int size, boolean withPrefix) {
		Random random = new Random(this.seed);
		Router router = Router.of(Ticker.system());
		router.update(RouteTable.of(FailureDomain.of("region", "domain-0"), upstreams(size)));
		Deque<Choice> running = new ArrayDeque<>();
		int inFlight = size * IN_FLIGHT / DOMAINS;
		choose(router, running, inFlight, WARM_UP, withPrefix, random, new Histogram(3));
		Histogram times = new Histogram(3);
		choose(router, running, inFlight, CHOICES, withPrefix, random, times);
		return String.format(Locale.ROOT, "%9d  %-8s %7d  %7d  %7d", size, withPrefix ? "prefix" : "plain",
				times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getValueAtPercentile(99.9));
	}

	private static void choose(Router router, Deque<Choice> running, int inFlight, int choices, boolean withPrefix,
			Random random, Histogram times) {
		RouteRequest[] requests = new RouteRequest[GROUP];
		for (int i = 0; i < choices; i += GROUP) {
			for (int j = 0; j < GROUP; j++) {
				requests[j] = RouteRequest.of("",
						withPrefix ? OptionalLong.of(spread(random.nextInt(PREFIXES))) : OptionalLong.empty());
			}
			long start = System.nanoTime();
			for (RouteRequest request : requests) {
				running.add(router.choose(request).orElseThrow());
			}
			times.recordValue((System.nanoTime() - start) / GROUP);
			while (running.size() > inFlight) {
				running.remove().release(Choice.Outcome.SUCCESS);
			}
		}
	}

	// -- prefix hits

	private String hits(String name, int byLoad, Function<Long, OptionalLong> key, Random random) {
		List<Upstream> upstreams = upstreams(13 * DOMAINS).stream()
			.filter((upstream) -> upstream.instance().failureDomain().name().equals("domain-0"))
			.toList();
		Router router = Router.of(Ticker.system());
		router.update(RouteTable.of(FailureDomain.of("region", "domain-0"), upstreams));
		Map<Upstream, Map<Long, Boolean>> caches = new HashMap<>();
		Map<Upstream, Integer> counts = new HashMap<>();
		Deque<Choice> running = new ArrayDeque<>();
		int hits = 0;
		int requests = 200_000;
		for (int i = 0; i < requests; i++) {
			long prefix = zipf(random);
			Upstream chosen;
			if (byLoad == 0) {
				chosen = upstreams.get(random.nextInt(upstreams.size()));
			}
			else {
				Choice choice = router.choose(RouteRequest.of("", key.apply(prefix))).orElseThrow();
				running.add(choice);
				chosen = choice.upstream();
			}
			while (running.size() > upstreams.size() * IN_FLIGHT) {
				running.remove().release(Choice.Outcome.SUCCESS);
			}
			counts.merge(chosen, 1, Integer::sum);
			Map<Long, Boolean> cache = caches.computeIfAbsent(chosen, (ignored) -> new Cache());
			hits += (cache.put(prefix, true) != null) ? 1 : 0;
		}
		double busiest = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		return String.format(Locale.ROOT, "%-18s %8.1f%%   %.2f", name, 100.0 * hits / requests,
				busiest * upstreams.size() / requests);
	}

	private static long zipf(Random random) {
		// The inverse of the cumulative popularity 1/rank, which grows with the
		// logarithm.
		return (long) Math.exp(random.nextDouble() * Math.log(PREFIXES));
	}

	/**
	 * The prefixes that an engine has, the least recently used leaving first.
	 */
	private static final class Cache extends LinkedHashMap<Long, Boolean> {

		private static final long serialVersionUID = 1L;

		private Cache() {
			super(64, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > CACHED_PREFIXES;
		}

	}

}
