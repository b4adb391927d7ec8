package org.ragworthook.core.routing;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Takes an upstream that keeps failing out of the choice for a while and lets it back in
 * slowly.
 * <p>
 * An upstream that fails at once always looks idle, so least outstanding would send it
 * ever more requests; one notices by failures that grow although few upstreams are ill.
 * After some failures in a row it is left out, twice as long each time, and on its return
 * its share of requests rises from a tenth to the whole.
 */
public final class OutlierDetector {

	/** The share of requests of an upstream that is well. */
	public static final double FULL_SHARE = 1.0;

	private static final double FIRST_SHARE = 0.1;

	private static final int LONGEST_DOUBLING = 6;

	private final Settings settings;

	private final AtomicReference<State> state = new AtomicReference<>(new State(0, 0, 0, 0));

	private OutlierDetector(Settings settings) {
		this.settings = settings;
	}

	/**
	 * Returns a detector for one upstream.
	 * @param settings when to leave it out and for how long
	 * @return a new detector
	 */
	public static OutlierDetector of(Settings settings) {
		return new OutlierDetector(Objects.requireNonNull(settings, "settings is null"));
	}

	/**
	 * Learns that the upstream answered.
	 * @param now the ticker's reading
	 */
	public void succeeded(long now) {
		State current = this.state.get();
		if (current.failures() == 0 && (current.ejections() == 0 || share(now) < FULL_SHARE)) {
			return;
		}
		this.state.updateAndGet(
				(old) -> new State(0, (share(old, now) < FULL_SHARE) ? old.ejections() : 0, old.from(), old.until()));
	}

	/**
	 * Learns that the upstream failed a request.
	 * @param now the ticker's reading
	 */
	public void failed(long now) {
		this.state.updateAndGet((old) -> afterFailure(old, now));
	}

	private State afterFailure(State old, long now) {
		boolean out = old.ejections() > 0 && now - old.until() < 0;
		if (out) {
			return old;
		}
		// On its slow return a single failure shows that it is still ill.
		boolean returning = old.ejections() > 0 && share(old, now) < FULL_SHARE;
		if (!returning && old.failures() + 1 < this.settings.failures()) {
			return new State(old.failures() + 1, old.ejections(), old.from(), old.until());
		}
		long length = this.settings.ejection().toNanos() << Math.min(old.ejections(), LONGEST_DOUBLING);
		return new State(0, old.ejections() + 1, now, now + length);
	}

	/**
	 * Returns the share of its requests that the upstream should get.
	 * @param now the ticker's reading
	 * @return zero while it is left out, then rising to one
	 */
	public double share(long now) {
		return share(this.state.get(), now);
	}

	private double share(State current, long now) {
		if (current.ejections() == 0) {
			return FULL_SHARE;
		}
		long back = now - current.until();
		if (back < 0) {
			return 0;
		}
		long ramp = this.settings.ramp().toNanos();
		return (back >= ramp) ? FULL_SHARE : FIRST_SHARE + (FULL_SHARE - FIRST_SHARE) * back / ramp;
	}

	/**
	 * When an upstream is left out and for how long.
	 *
	 * @param failures how many failures in a row it takes
	 * @param ejection how long it is left out the first time
	 * @param ramp how long its return takes
	 */
	public record Settings(int failures, Duration ejection, Duration ramp) {

		/** Three failures in a row, a second, and a return within five seconds. */
		public static final Settings DEFAULT = new Settings(3, Duration.ofSeconds(1), Duration.ofSeconds(5));

		/**
		 * Checks the parts.
		 */
		public Settings {
			Objects.requireNonNull(ejection, "ejection is null");
			Objects.requireNonNull(ramp, "ramp is null");
			if (failures < 1) {
				throw new IllegalArgumentException("failures " + failures + " is less than 1");
			}
		}

	}

	private record State(int failures, int ejections, long from, long until) {
	}

}
