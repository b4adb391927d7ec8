package org.ragworthook.gateway.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * By how much the gaps of an upstream grow with the requests that it runs at the same
 * time, over the upstreams of a service. With it, gaps that were observed at different
 * loads are compared.
 * <p>
 * The load of an upstream is divided into four levels, a quarter of the slots each. The
 * growth from one level to the next is the median over the upstreams that were observed
 * at both, so that it does not depend on which upstreams are loaded most.
 */
final class LoadEffect {

	static final int LEVELS = 4;

	/** No effect, as long as too little was observed. */
	static final LoadEffect NONE = new LoadEffect(new double[] { 1, 1, 1, 1 },
			new boolean[] { true, false, false, false });

	/** Gaps at each of two levels from which an upstream counts. */
	private static final int MIN_SAMPLES = 10;

	/**
	 * Greatest growth from one level to the next. Twice the requests take at most twice
	 * the time; a greater figure comes from a change of speed between the observations.
	 */
	private static final double MAX_GROWTH = 2;

	private final double[] factors;

	private final boolean[] known;

	private LoadEffect(double[] factors, boolean[] known) {
		this.factors = factors;
		this.known = known;
	}

	/**
	 * Returns the level of a load.
	 * @param running the number of requests at an upstream
	 * @param slots the number of requests that it runs at the same time
	 * @return the level, from 0
	 */
	static int level(int running, int slots) {
		return (Math.max(1, Math.min(running, slots)) - 1) * LEVELS / slots;
	}

	/**
	 * Returns the effect in a service. Where too little was observed, for example while
	 * all upstreams are full, a level keeps its earlier growth.
	 * @param upstreams the observations of its upstreams
	 * @param previous the effect that was observed before
	 * @param nowNanos the ticker's reading
	 * @return the effect
	 */
	static LoadEffect of(Collection<UpstreamObservations> upstreams, LoadEffect previous, long nowNanos) {
		double[] factors = { 1, 1, 1, 1 };
		boolean[] known = { true, false, false, false };
		for (int level = 1; level < LEVELS; level++) {
			List<Double> observed = new ArrayList<>();
			for (UpstreamObservations upstream : upstreams) {
				growth(upstream, level, factors, known, nowNanos).ifPresent(observed::add);
			}
			double factor = DecayingMedian.median(observed.stream().mapToDouble(Double::doubleValue).toArray())
				.orElse((previous.known[level]) ? previous.factors[level] : factors[level - 1]);
			known[level] = previous.known[level] || !observed.isEmpty();
			factors[level] = Math.max(factors[level - 1], Math.min(MAX_GROWTH * factors[level - 1], factor));
		}
		return new LoadEffect(factors, known);
	}

	/**
	 * Returns the growth up to a level at one upstream, from the next lower level at
	 * which it was observed. An upstream of few slots has no load in some levels.
	 * @param upstream its observations
	 * @param level the level
	 * @param factors the factors of the lower levels
	 * @param known whether the factors of the lower levels are known
	 * @param nowNanos the ticker's reading
	 * @return the factor of the level, or empty if too little was observed
	 */
	private static Optional<Double> growth(UpstreamObservations upstream, int level, double[] factors, boolean[] known,
			long nowNanos) {
		OptionalDouble upper = upstream.gapMicros(level, MIN_SAMPLES, nowNanos);
		for (int lower = level - 1; upper.isPresent() && lower >= 0; lower--) {
			OptionalDouble below = upstream.gapMicros(lower, MIN_SAMPLES, nowNanos);
			if (known[lower] && below.isPresent() && below.getAsDouble() > 0) {
				return Optional.of(upper.getAsDouble() / below.getAsDouble() * factors[lower]);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the gap at a level relative to that at the lowest one.
	 * @param level the level
	 * @return the factor, at least 1
	 */
	double factor(int level) {
		return this.factors[level];
	}

	/**
	 * Returns whether gaps at a level can be converted to the lowest one.
	 * @param level the level
	 * @return whether its growth was observed
	 */
	boolean known(int level) {
		return this.known[level];
	}

	/**
	 * Returns the gap at the highest level relative to that at the lowest one.
	 * @return the factor, at least 1
	 */
	double fullFactor() {
		return this.factors[LEVELS - 1];
	}

}
