package org.ragworthook.core.routing;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Ejects an upstream that keeps failing from load balancing for a while, then readmits it
 * gradually.
 * <p>
 * An upstream that fails immediately always looks idle, so least-outstanding balancing
 * would send it more and more requests. After a number of consecutive failures the
 * upstream is ejected, for twice as long each time; when readmitted, its share of
 * requests rises linearly from a tenth to the full share.
 */
public final class OutlierDetector {

	/** The share of requests of a healthy upstream. */
	public static final double FULL_SHARE = 1.0;

	private static final double INITIAL_SHARE = 0.1;

	private static final int MAX_DOUBLINGS = 6;

	private final Settings settings;

	private final AtomicReference<State> state = new AtomicReference<>(new State(0, 0, 0, 0));

	private OutlierDetector(Settings settings) {
		this.settings = settings;
	}

	/**
	 * Returns a detector for one upstream.
	 * @param settings when to eject the upstream and for how long
	 * @return a new detector
	 */
	public static OutlierDetector of(Settings settings) {
		return new OutlierDetector(Objects.requireNonNull(settings, "settings is null"));
	}

	/**
	 * Called when the upstream has answered a request.
	 * @param now the ticker's reading
	 */
	public void succeeded(long now) {
		State current = this.state.get();
		if (current.failures() == 0 && (current.ejections() == 0 || share(now) < FULL_SHARE)) {
			return;
		}
		this.state.updateAndGet((old) -> new State(0, (share(old, now) < FULL_SHARE) ? old.ejections() : 0,
				old.ejectedAt(), old.ejectedUntil()));
	}

	/**
	 * Called when the upstream has failed a request.
	 * @param now the ticker's reading
	 */
	public void failed(long now) {
		this.state.updateAndGet((old) -> afterFailure(old, now));
	}

	private State afterFailure(State old, long now) {
		boolean ejected = old.ejections() > 0 && now - old.ejectedUntil() < 0;
		if (ejected) {
			return old;
		}
		// While the upstream is being readmitted, a single failure shows that it is
		// still unhealthy.
		boolean ramping = old.ejections() > 0 && share(old, now) < FULL_SHARE;
		if (!ramping && old.failures() + 1 < this.settings.failures()) {
			return new State(old.failures() + 1, old.ejections(), old.ejectedAt(), old.ejectedUntil());
		}
		long length = this.settings.ejection().toNanos() << Math.min(old.ejections(), MAX_DOUBLINGS);
		return new State(0, old.ejections() + 1, now, now + length);
	}

	/**
	 * Returns the fraction of its usual requests that the upstream should get.
	 * @param now the ticker's reading, in nanoseconds
	 * @return zero while it is ejected, then rising from 0.1 to one
	 */
	public double share(long now) {
		return share(this.state.get(), now);
	}

	private double share(State current, long now) {
		if (current.ejections() == 0) {
			return FULL_SHARE;
		}
		long sinceReadmission = now - current.ejectedUntil();
		if (sinceReadmission < 0) {
			return 0;
		}
		long ramp = this.settings.ramp().toNanos();
		return (sinceReadmission >= ramp) ? FULL_SHARE
				: INITIAL_SHARE + (FULL_SHARE - INITIAL_SHARE) * sinceReadmission / ramp;
	}

	/**
	 * When an upstream is ejected and for how long.
	 *
	 * @param failures the number of consecutive failures that cause an ejection
	 * @param ejection the duration of the first ejection
	 * @param ramp the time in which the share rises to one after an ejection
	 */
	public record Settings(int failures, Duration ejection, Duration ramp) {

		/**
		 * Ejects after three consecutive failures for one second, and readmits over five
		 * seconds.
		 */
		public static final Settings DEFAULT = new Settings(3, Duration.ofSeconds(1), Duration.ofSeconds(5));

		/**
		 * Checks the components.
		 */
		public Settings {
			Objects.requireNonNull(ejection, "ejection is null");
			Objects.requireNonNull(ramp, "ramp is null");
			if (failures < 1) {
				throw new IllegalArgumentException("failures " + failures + " is less than 1");
			}
		}

	}

	private record State(int failures, int ejections, long ejectedAt, long ejectedUntil) {
	}

}
