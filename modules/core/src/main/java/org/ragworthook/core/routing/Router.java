package org.ragworthook.core.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;

/**
 * Chooses upstreams of one service. Any number of threads may choose at the same time;
 * none waits for another.
 */
public final class Router {

	/** Groups up to this size are looked through whole. */
	private static final int SMALL = 16;

	private static final int SAMPLES = 3;

	private static final int DRAWS = 12;

	private static final int RING_STEPS = 4;

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
	 * @param ticker the time
	 * @return a new router
	 */
	public static Router of(Ticker ticker) {
		return of(ticker, ThreadLocalRandom::current, 1.25);
	}

	/**
	 * Returns a router without upstreams.
	 * @param ticker the time
	 * @param random gives the random numbers of a choice
	 * @param loadBound how many times the mean load an upstream may have and still be
	 * preferred for a prefix
	 * @return a new router
	 */
	public static Router of(Ticker ticker, Supplier<RandomGenerator> random, double loadBound) {
		return new Router(ticker, random, loadBound);
	}

	/**
	 * Puts a new table in force. Choices made by the old one stay valid.
	 * @param next the table
	 */
	public void update(RouteTable next) {
		this.table = Objects.requireNonNull(next, "next is null");
	}

	/**
	 * Returns the table in force.
	 * @return the table
	 */
	public RouteTable table() {
		return this.table;
	}

	/**
	 * Chooses an upstream and counts an attempt there.
	 * @param request what the choice depends on
	 * @return the choice, to be released when the attempt ends, or empty if there is no
	 * upstream
	 */
	public Optional<Choice> choose(RouteRequest request) {
		Objects.requireNonNull(request, "request is null");
		RouteTable current = this.table;
		long now = this.ticker.nanos();
		Upstream preferred = byPrefix(current, request, now);
		if (preferred != null) {
			return Optional.of(begin(preferred, Choice.Reason.PREFIX));
		}
		Upstream near = leastLoaded(current.near(), request, now);
		if (near != null && !near.full()) {
			return Optional.of(begin(near, Choice.Reason.LEAST_LOADED));
		}
		Upstream far = leastLoaded(current.far(), request, now);
		if (far != null && (near == null || !far.full())) {
			return Optional.of(begin(far, Choice.Reason.OTHER_DOMAIN));
		}
		return Optional.ofNullable(near).map((upstream) -> begin(upstream, Choice.Reason.LEAST_LOADED));
	}

	private Choice begin(Upstream upstream, Choice.Reason reason) {
		upstream.begin();
		this.outstanding.incrementAndGet();
		return new Choice(this, upstream, reason);
	}

	void released(Upstream upstream, Choice.Outcome fared) {
		upstream.end();
		this.outstanding.decrementAndGet();
		switch (fared) {
			case SUCCESS -> upstream.detector().succeeded(this.ticker.nanos());
			case FAILURE -> upstream.detector().failed(this.ticker.nanos());
			default -> {
			}
		}
	}

	// -- prefix affinity

	// Walks the ring from the prefix's place. Without the bound on the load a popular
	// prefix would fill one engine's queue while others idle.
	private Upstream byPrefix(RouteTable current, RouteRequest request, long now) {
		UpstreamGroup group = (current.near().size() > 0) ? current.near() : current.far();
		if (request.prefix().isEmpty() || group.size() == 0) {
			return null;
		}
		double bound = this.loadBound * (this.outstanding.get() + 1) / current.size();
		int position = group.position(request.prefix().getAsLong());
		for (int step = 0; step < RING_STEPS; step++) {
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
		RandomGenerator draw = this.random.get();
		Upstream best = (group.size() <= SMALL) ? best(group, draw.nextInt(group.size()), group.size(), request, now)
				: sampled(group, draw, request, now);
		return (best != null) ? best : any(group, draw.nextInt(group.size()), request, now);
	}

	// Looking at three at random keeps the load within a hair of looking at all.
	private Upstream sampled(UpstreamGroup group, RandomGenerator draw, RouteRequest request, long now) {
		Upstream best = null;
		double bestScore = Double.MAX_VALUE;
		int seen = 0;
		for (int i = 0; i < DRAWS && seen < SAMPLES; i++) {
			Upstream candidate = group.member(draw.nextInt(group.size()));
			double share = share(candidate, request, now);
			if (share > 0) {
				seen++;
				double score = candidate.score(share);
				if (score < bestScore) {
					best = candidate;
					bestScore = score;
				}
			}
		}
		return (best != null) ? best : best(group, draw.nextInt(group.size()), group.size(), request, now);
	}

	private Upstream best(UpstreamGroup group, int from, int count, RouteRequest request, long now) {
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

	// Chooses although every upstream is ejected: when all look ill, it is more likely a
	// request or the network that is, and refusing everything would make it an outage.
	private static Upstream any(UpstreamGroup group, int from, RouteRequest request, long now) {
		for (int i = 0; i < group.size(); i++) {
			Upstream candidate = group.member((from + i) % group.size());
			if (!request.tried().contains(candidate) && candidate.serves(request.model(), now)) {
				return candidate;
			}
		}
		return null;
	}

}
