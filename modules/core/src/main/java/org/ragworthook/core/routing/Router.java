package org.ragworthook.core.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;

/**
 * Selects upstreams of one service, preferring the entry's own failure domain, prefix
 * affinity and low load. Thread-safe and lock-free.
 */
public final class Router {

	/** Groups up to this size are scanned completely instead of sampled. */
	private static final int MAX_FULL_SCAN = 16;

	private static final int SAMPLES = 3;

	private static final int MAX_DRAWS = 12;

	private static final int MAX_RING_STEPS = 4;

	private final Ticker ticker;

	private final Supplier<RandomGenerator> random;

	private final double loadBound;

	private final AtomicInteger outstanding = new AtomicInteger();

	private volatile RouteTable table = RouteTable.empty();

	private Router(Ticker ticker, Supplier<RandomGenerator> random, double loadBound) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.random = Objects.requireNonNull(random, "random is null");
		this.loadBound = loadBound;
	}

	/**
	 * Returns a router without upstreams.
	 * @param ticker the monotonic clock
	 * @return a new router
	 */
	public static Router of(Ticker ticker) {
		return of(ticker, ThreadLocalRandom::current, 1.25);
	}

	/**
	 * Returns a router without upstreams.
	 * @param ticker the monotonic clock
	 * @param random supplies the random generator of a selection
	 * @param loadBound the load, as a multiple of the mean load, above which an upstream
	 * is not preferred for a prefix
	 * @return a new router
	 */
	public static Router of(Ticker ticker, Supplier<RandomGenerator> random, double loadBound) {
		return new Router(ticker, random, loadBound);
	}

	/**
	 * Replaces the route table. Choices made with the previous table stay valid.
	 * @param next the new table
	 */
	public void update(RouteTable next) {
		this.table = Objects.requireNonNull(next, "next is null");
	}

	/**
	 * Returns the current route table.
	 * @return the table
	 */
	public RouteTable table() {
		return this.table;
	}

	/**
	 * Selects an upstream and counts an attempt there.
	 * @param request the properties of the request
	 * @return the choice, which must be released when the attempt ends, or empty if no
	 * upstream can serve the request
	 */
	public Optional<Choice> choose(RouteRequest request) {
		Objects.requireNonNull(request, "request is null");
		RouteTable current = this.table;
		long now = this.ticker.nanos();
		Upstream preferred = byPrefix(current, request, now);
		if (preferred != null) {
			return Optional.of(begin(preferred, Choice.Reason.PREFIX));
		}
		Upstream local = leastLoaded(current.local(), request, now);
		if (local != null && !local.full()) {
			return Optional.of(begin(local, Choice.Reason.LEAST_LOADED));
		}
		Upstream remote = leastLoaded(current.remote(), request, now);
		if (remote != null && (local == null || !remote.full())) {
			return Optional.of(begin(remote, Choice.Reason.OTHER_DOMAIN));
		}
		return Optional.ofNullable(local).map((upstream) -> begin(upstream, Choice.Reason.LEAST_LOADED));
	}

	private Choice begin(Upstream upstream, Choice.Reason reason) {
		upstream.begin();
		this.outstanding.incrementAndGet();
		return new Choice(this, upstream, reason);
	}

	void released(Upstream upstream, Choice.Outcome outcome) {
		upstream.end();
		this.outstanding.decrementAndGet();
		switch (outcome) {
			case SUCCESS -> upstream.detector().succeeded(this.ticker.nanos());
			case FAILURE -> upstream.detector().failed(this.ticker.nanos());
			default -> {
			}
		}
	}

	// -- prefix affinity

	// Consistent hashing with bounded loads: walks the ring from the prefix's position.
	// Without the bound, a popular prefix would fill one engine's queue while others
	// are idle.
	private Upstream byPrefix(RouteTable current, RouteRequest request, long now) {
		UpstreamGroup group = (current.local().size() > 0) ? current.local() : current.remote();
		if (request.prefix().isEmpty() || group.size() == 0) {
			return null;
		}
		double bound = this.loadBound * (this.outstanding.get() + 1) / current.size();
		int position = group.position(request.prefix().getAsLong());
		for (int step = 0; step < MAX_RING_STEPS; step++) {
			Upstream candidate = group.owner(position + step);
			if (candidate.outstanding() < Math.max(1, bound) && !candidate.full()
					&& share(candidate, request, now) >= OutlierDetector.FULL_SHARE) {
				return candidate;
			}
		}
		return null;
	}

	// -- least outstanding

	private Upstream leastLoaded(UpstreamGroup group, RouteRequest request, long now) {
		if (group.size() == 0) {
			return null;
		}
		RandomGenerator random = this.random.get();
		Upstream best = (group.size() <= MAX_FULL_SCAN)
				? leastLoadedOfAll(group, random.nextInt(group.size()), group.size(), request, now)
				: leastLoadedOfSample(group, random, request, now);
		return (best != null) ? best : anyServing(group, random.nextInt(group.size()), request, now);
	}

	// The least loaded of three random candidates balances the load almost as well as a
	// full scan.
	private Upstream leastLoadedOfSample(UpstreamGroup group, RandomGenerator random, RouteRequest request, long now) {
		Upstream best = null;
		double bestScore = Double.MAX_VALUE;
		int sampled = 0;
		for (int i = 0; i < MAX_DRAWS && sampled < SAMPLES; i++) {
			Upstream candidate = group.member(random.nextInt(group.size()));
			double share = share(candidate, request, now);
			if (share > 0) {
				sampled++;
				double score = candidate.score(share);
				if (score < bestScore) {
					best = candidate;
					bestScore = score;
				}
			}
		}
		return (best != null) ? best
				: leastLoadedOfAll(group, random.nextInt(group.size()), group.size(), request, now);
	}

	private Upstream leastLoadedOfAll(UpstreamGroup group, int from, int count, RouteRequest request, long now) {
		Upstream best = null;
		double bestScore = Double.MAX_VALUE;
		for (int i = 0; i < count; i++) {
			Upstream candidate = group.member((from + i) % group.size());
			double share = share(candidate, request, now);
			if (share > 0) {
				double score = candidate.score(share);
				if (score < bestScore) {
					best = candidate;
					bestScore = score;
				}
			}
		}
		return best;
	}

	private static double share(Upstream candidate, RouteRequest request, long now) {
		if (request.tried().contains(candidate) || !candidate.serves(request.model(), now)) {
			return 0;
		}
		return candidate.detector().share(now);
	}

	// Fallback when every upstream is ejected: if all of them fail, the cause is more
	// likely a request or the network, and refusing all requests would turn that into
	// an outage.
	private static Upstream anyServing(UpstreamGroup group, int from, RouteRequest request, long now) {
		for (int i = 0; i < group.size(); i++) {
			Upstream candidate = group.member((from + i) % group.size());
			if (!request.tried().contains(candidate) && candidate.serves(request.model(), now)) {
				return candidate;
			}
		}
		return null;
	}

}
