package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;

/**
 * The times of a planned stop, by which each decision about a request takes the end of
 * the process into account. All times are counted from the signal. Thread-safe.
 * <p>
 * They are sixteenths of the grace period, so that a short one leaves room for all steps.
 * In a long one, requests are admitted and the process stays up no longer than the
 * balancer needs to direct callers elsewhere.
 */
public final class StopSchedule {

	/**
	 * How long the balancer may direct callers here after a stop has begun: three of its
	 * health checks.
	 */
	private static final Duration DEREGISTRATION_DELAY = Duration.ofMillis(3_000);

	/**
	 * Less than {@link #DEREGISTRATION_DELAY}, after which no request may be taken that
	 * might not be completed: a process learns late of the signal and of requests.
	 */
	private static final Duration MAX_ADMISSION = Duration.ofMillis(2_500);

	private static final int PARTS = 16;

	private static final int ADMISSION_PARTS = 5;

	private static final int STAY_PARTS = 6;

	private static final int PLACEMENT_PARTS = 10;

	/** Within the last sixth of the grace period. */
	private static final int ANSWER_PARTS = 14;

	private static final int EXIT_PARTS = 15;

	private final Ticker ticker;

	/** The times of the stop, or {@code null} before it has begun. */
	private volatile Times times;

	private StopSchedule(Ticker ticker) {
		this.ticker = ticker;
	}

	/**
	 * Creates the schedule of a process that does not stop yet.
	 * @param ticker the monotonic clock
	 * @return the schedule
	 */
	public static StopSchedule of(Ticker ticker) {
		return new StopSchedule(Objects.requireNonNull(ticker, "ticker is null"));
	}

	/**
	 * Begins the stop. The times do not change afterwards.
	 * @param sinceSignal the time that has passed since the signal
	 * @param grace the time after which the process is killed, counted from the signal
	 */
	public synchronized void begin(Duration sinceSignal, Duration grace) {
		if (sinceSignal.isNegative() || grace.isNegative()) {
			throw new IllegalArgumentException("negative: " + sinceSignal + " or " + grace);
		}
		if (this.times == null) {
			this.times = Times.of(this.ticker.nanos() - sinceSignal.toNanos(), grace);
		}
	}

	/**
	 * Returns whether the stop has begun.
	 * @return whether callers are asked to close their connections
	 */
	public boolean begun() {
		return this.times != null;
	}

	/**
	 * Returns whether new requests are accepted.
	 * @return false for a request that has to be refused as not run
	 */
	public boolean admits() {
		Times present = this.times;
		return present == null || elapsed(present).compareTo(present.admission) < 0;
	}

	/**
	 * Returns whether requests that have not run may be sent to an upstream.
	 * @return false if a typical response could no longer be completed
	 */
	public boolean places() {
		Times present = this.times;
		return present == null || elapsed(present).compareTo(present.placement) < 0;
	}

	/**
	 * Returns whether all requests are to be answered, whatever they wait for.
	 * @return whether the time of the last answers has come
	 */
	public boolean answersAll() {
		Times present = this.times;
		return present != null && elapsed(present).compareTo(present.answer) >= 0;
	}

	/**
	 * Returns whether an instance without open requests may exit.
	 * @return whether the balancer no longer directs callers here
	 */
	public boolean mayExit() {
		Times present = this.times;
		return present != null && elapsed(present).compareTo(present.stay) >= 0;
	}

	/**
	 * Returns the time until the process exits, whatever is open.
	 * @return the time, not negative
	 */
	public Duration untilExit() {
		Times present = this.times;
		if (present == null) {
			throw new IllegalStateException("the stop has not begun");
		}
		Duration left = present.exit.minus(elapsed(present));
		return left.isNegative() ? Duration.ZERO : left;
	}

	/**
	 * Returns the time since the signal, for the log.
	 * @return milliseconds, or 0 before the signal
	 */
	public long elapsedMillis() {
		Times present = this.times;
		return (present != null) ? elapsed(present).toMillis() : 0;
	}

	private Duration elapsed(Times present) {
		return Duration.ofNanos(this.ticker.nanos() - present.startNanos);
	}

	private record Times(long startNanos, Duration admission, Duration stay, Duration placement, Duration answer,
			Duration exit) {

		static Times of(long startNanos, Duration grace) {
			return new Times(startNanos, min(part(grace, ADMISSION_PARTS), MAX_ADMISSION),
					min(part(grace, STAY_PARTS), DEREGISTRATION_DELAY), part(grace, PLACEMENT_PARTS),
					part(grace, ANSWER_PARTS), part(grace, EXIT_PARTS));
		}

		private static Duration part(Duration grace, int parts) {
			return grace.multipliedBy(parts).dividedBy(PARTS);
		}

		private static Duration min(Duration one, Duration other) {
			return (one.compareTo(other) < 0) ? one : other;
		}

	}

}
