package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Adaptive concurrency limit: finds out how many requests an engine can run at once
 * without queueing.
 * <p>
 * An engine admits requests in arrival order. If it is sent more than it can run, an
 * online request waits in the engine's queue behind batch requests, where it cannot be
 * prioritized; the symptom is a high time to first token even for the shortest prompts.
 * The limit is therefore lowered when the minimum time to first output in a window is
 * much longer than the baseline, when the time per token exceeds its target, when the
 * engine reports a queue, or when the engine rejects a request. It is raised when none of
 * this occurred in a window in which the limit was reached. The baseline is refreshed in
 * occasional probe windows that run with half the limit.
 */
public final class ConcurrencyLimit {

	private static final int WINDOW_SAMPLES = 16;

	private static final double DECREASE_FACTOR = 0.85;

	private static final double MAX_STEP_DIVISOR = 4;

	private static final int QUEUE_REPORTS_TO_COUNT = 2;

	private static final int REPORT_MAX_AGE_WINDOWS = 3;

	private static final int PROBE_SAMPLES = 8;

	private static final int PROBE_INTERVAL_WINDOWS = 64;

	private static final int PROBE_RETRY_WINDOWS = 2;

	private static final double BASELINE_MAX_RISE = 1.2;

	private static final long BASELINE_SLACK_NANOS = Duration.ofMillis(2).toNanos();

	private final int minimum;

	private final int maximum;

	private final double tolerance;

	private final long tokenTargetNanos;

	private double limit;

	private long baselineNanos = Long.MAX_VALUE;

	private long windowMinimumNanos = Long.MAX_VALUE;

	private long tokenTimeNanos;

	private long tokenCount;

	private int windowSamples;

	private int windowsUntilProbe = PROBE_RETRY_WINDOWS;

	private boolean limitWasReached;

	private boolean overloadSeen;

	private int windowsWithoutQueue;

	private int reportAgeWindows = REPORT_MAX_AGE_WINDOWS + 1;

	private int nonEmptyReports;

	private ConcurrencyLimit(Builder builder) {
		this.minimum = builder.minimum;
		this.maximum = builder.maximum;
		this.limit = Math.max(builder.minimum, Math.min(builder.maximum, builder.initial));
		this.tolerance = builder.tolerance;
		this.tokenTargetNanos = builder.tokenTarget.toNanos();
	}

	/**
	 * Returns a builder.
	 * @return a builder with a limit from 1 to 256 that starts at 16
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns a limit that never changes.
	 * @param limit the maximum number of requests, at least one
	 * @return the limit
	 */
	public static ConcurrencyLimit fixed(int limit) {
		return builder().bounds(limit, limit).initial(limit).build();
	}

	/**
	 * Returns the current limit.
	 * @return the maximum number of requests at the engine
	 */
	public int value() {
		return (this.windowsUntilProbe > 0) ? (int) this.limit : probeValue();
	}

	private int probeValue() {
		return Math.max(this.minimum, (int) (this.limit / 2));
	}

	/**
	 * Called with the time to first output of a request.
	 * @param nanos nanoseconds since the request was sent to the engine
	 */
	public void firstOutput(long nanos) {
		this.windowMinimumNanos = Math.min(this.windowMinimumNanos, Math.max(1, nanos));
		countSample();
	}

	private void countSample() {
		this.windowSamples++;
		if (this.windowSamples >= ((this.windowsUntilProbe > 0) ? WINDOW_SAMPLES : PROBE_SAMPLES)) {
			closeWindow();
		}
	}

	/**
	 * Called when a run has ended, with the time that it took after its first token.
	 * @param count the number of tokens after the first
	 * @param nanos nanoseconds from the first token to the end
	 */
	public void tokensGenerated(int count, long nanos) {
		this.tokenCount += count;
		this.tokenTimeNanos += nanos;
	}

	/**
	 * Called when a request had to wait because the limit was reached.
	 */
	public void limitReached() {
		this.limitWasReached = true;
	}

	/**
	 * Called when the engine reports a queue or rejects a request as overloaded. Lowers
	 * the limit at most once per window, since all requests of a window observe the same
	 * queue.
	 */
	public void overloaded() {
		if (!this.overloadSeen) {
			decrease();
		}
		this.overloadSeen = true;
		countSample();
	}

	/**
	 * Called with the length of the engine's own queue, from the engine's delayed load
	 * report. Engines admit requests between two steps, so a request that has just
	 * arrived is reported as waiting; only two non-empty reports in a row count as a
	 * queue. While reports show no queue, slow first outputs are ignored: a request that
	 * takes the slot of one that has just ended always waits for a whole engine step,
	 * which looks like queueing compared with the baseline of an idle engine.
	 * @param waiting the number of requests in the engine's queue
	 */
	public void queueReported(int waiting) {
		this.reportAgeWindows = 0;
		this.nonEmptyReports = (waiting > 0) ? this.nonEmptyReports + 1 : 0;
		if (this.nonEmptyReports >= QUEUE_REPORTS_TO_COUNT) {
			overloaded();
		}
	}

	private boolean queueReportedEmpty() {
		return this.reportAgeWindows <= REPORT_MAX_AGE_WINDOWS && this.nonEmptyReports < QUEUE_REPORTS_TO_COUNT;
	}

	private void closeWindow() {
		this.reportAgeWindows++;
		if (this.windowsUntilProbe == 0) {
			endProbe();
		}
		else {
			adjust();
			// Counts down to the next probe only while the limit is in use: on a nearly
			// idle engine a probe would last long, and the next burst would find half
			// the slots. An engine that reports its queue needs no probe.
			if (this.limitWasReached && !queueReportedEmpty()) {
				this.windowsUntilProbe--;
			}
		}
		this.windowMinimumNanos = Long.MAX_VALUE;
		this.tokenCount = 0;
		this.tokenTimeNanos = 0;
		this.windowSamples = 0;
		this.limitWasReached = false;
		this.overloadSeen = false;
	}

	// First outputs that are much faster at half the limit show that the engine had a
	// queue all along, even if no window was slower than the one before it.
	private void endProbe() {
		if (!queueReportedEmpty() && muchSlower(this.baselineNanos, this.windowMinimumNanos)) {
			this.limit = probeValue();
			this.windowsWithoutQueue = 0;
			this.windowsUntilProbe = PROBE_RETRY_WINDOWS;
		}
		else {
			this.windowsUntilProbe = PROBE_INTERVAL_WINDOWS;
		}
		updateBaseline();
	}

	private boolean muchSlower(long nanos, long base) {
		return nanos != Long.MAX_VALUE && base != Long.MAX_VALUE
				&& nanos > (base * this.tolerance) + BASELINE_SLACK_NANOS;
	}

	private void adjust() {
		boolean slow = !queueReportedEmpty() && muchSlower(this.windowMinimumNanos, this.baselineNanos);
		if (slow || tokensTooSlow()) {
			if (!this.overloadSeen) {
				decrease();
			}
		}
		else if (this.limitWasReached && !this.overloadSeen) {
			this.limit = Math.min(this.maximum, this.limit + increaseStep());
		}
		this.baselineNanos = Math.min(this.baselineNanos, this.windowMinimumNanos);
	}

	// The step grows with the number of windows in a row without a queue. With steps of
	// one, a sidecar that has just started, or whose engine was slow once, would leave
	// half of the engine idle for many seconds, longer than idle capacity usually
	// lasts.
	private double increaseStep() {
		this.windowsWithoutQueue++;
		return Math.max(1, Math.min(this.windowsWithoutQueue, this.limit / MAX_STEP_DIVISOR));
	}

	private boolean tokensTooSlow() {
		return this.tokenTargetNanos > 0 && this.tokenCount > 0
				&& this.tokenTimeNanos / this.tokenCount > this.tokenTargetNanos;
	}

	// The baseline has to rise slowly. If it never rose, the limit of an engine that
	// got a slower model would fall to the minimum and stay there. If it rose while the
	// engine has a queue, the queue would count as normal and the limit would rise
	// without bound. So it rises by at most 20 %, and only in a probe window, which
	// runs with half the limit.
	private void updateBaseline() {
		if (this.baselineNanos == Long.MAX_VALUE || this.windowMinimumNanos < this.baselineNanos) {
			this.baselineNanos = this.windowMinimumNanos;
		}
		else if (this.windowMinimumNanos != Long.MAX_VALUE) {
			this.baselineNanos = Math.min(this.windowMinimumNanos, (long) (this.baselineNanos * BASELINE_MAX_RISE));
		}
	}

	private void decrease() {
		this.windowsWithoutQueue = 0;
		this.limit = Math.max(this.minimum, this.limit * DECREASE_FACTOR);
	}

	/**
	 * Builds a {@link ConcurrencyLimit}.
	 */
	public static final class Builder {

		private int minimum = 1;

		private int maximum = 256;

		private int initial = 16;

		private double tolerance = 2.0;

		private Duration tokenTarget = Duration.ZERO;

		private Builder() {
		}

		/**
		 * Sets the bounds of the limit.
		 * @param lowest the lowest value, at least one
		 * @param highest the highest value
		 * @return this builder
		 */
		public Builder bounds(int lowest, int highest) {
			if (lowest < 1 || highest < lowest) {
				throw new IllegalArgumentException("bounds " + lowest + " to " + highest + " are not ascending from 1");
			}
			this.minimum = lowest;
			this.maximum = highest;
			return this;
		}

		/**
		 * Sets the initial limit.
		 * @param value the initial limit; it is clamped to the bounds
		 * @return this builder
		 */
		public Builder initial(int value) {
			this.initial = value;
			return this;
		}

		/**
		 * Sets by how much a window's minimum time to first output may exceed the
		 * baseline before the limit is lowered.
		 * @param factor the ratio of the two, above one
		 * @return this builder
		 */
		public Builder tolerance(double factor) {
			this.tolerance = factor;
			return this;
		}

		/**
		 * Sets the target for the mean time per output token.
		 * @param target the time per token above which the limit is lowered; zero for no
		 * target
		 * @return this builder
		 */
		public Builder tokenTarget(Duration target) {
			this.tokenTarget = Objects.requireNonNull(target, "target is null");
			return this;
		}

		/**
		 * Builds the limit.
		 * @return a new limit
		 */
		public ConcurrencyLimit build() {
			return new ConcurrencyLimit(this);
		}

	}

}
