package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * Learns how many requests an engine runs at once without a queue of its own.
 * <p>
 * An engine admits in arrival order. If it is given more than it can run, an online
 * request waits inside it behind batch requests, where nothing can overtake; one notices
 * by first tokens that come late even for the shortest prompts. The limit is therefore
 * lowered when the quickest first output of a window is much slower than it can be, when
 * tokens take longer than their target, when the engine reports a queue, or when it
 * refuses a request; it rises by one when a window shows none of this although the limit
 * was in use. How quick a first output can be is learnt in an occasional window with half
 * the limit.
 */
public final class ConcurrencyLimit {

	private static final int WINDOW = 16;

	private static final double LOWER = 0.85;

	private static final double LARGEST_STEP = 4;

	private static final int REPORTS_OF_QUEUE = 2;

	private static final int REPORT_WINDOWS = 3;

	private static final int PROBE_SAMPLES = 8;

	private static final int PROBE_EVERY = 64;

	private static final int PROBE_AGAIN = 2;

	private static final double BASELINE_RISE = 1.2;

	private static final long SLACK_NANOS = Duration.ofMillis(2).toNanos();

	private final int minimum;

	private final int maximum;

	private final double tolerance;

	private final long tokenTargetNanos;

	private double limit;

	private long baselineNanos = Long.MAX_VALUE;

	private long windowMinimum = Long.MAX_VALUE;

	private long tokenNanos;

	private long tokens;

	private int samples;

	private int untilProbe = PROBE_AGAIN;

	private boolean inUse;

	private boolean strained;

	private int quickWindows;

	private int reportAge = REPORT_WINDOWS + 1;

	private int waitingReports;

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
	 * Returns a limit that does not change.
	 * @param limit how many requests, at least one
	 * @return the limit
	 */
	public static ConcurrencyLimit fixed(int limit) {
		return builder().bounds(limit, limit).initial(limit).build();
	}

	/**
	 * Returns the limit as it stands.
	 * @return how many requests may be at the engine
	 */
	public int value() {
		return (this.untilProbe > 0) ? (int) this.limit : probeValue();
	}

	private int probeValue() {
		return Math.max(this.minimum, (int) (this.limit / 2));
	}

	/**
	 * Learns how long a first output took.
	 * @param nanos since the request was passed on
	 */
	public void firstOutput(long nanos) {
		this.windowMinimum = Math.min(this.windowMinimum, Math.max(1, nanos));
		sampled();
	}

	private void sampled() {
		this.samples++;
		if (this.samples >= ((this.untilProbe > 0) ? WINDOW : PROBE_SAMPLES)) {
			closeWindow();
		}
	}

	/**
	 * Learns how long a run took for the tokens after its first.
	 * @param count how many tokens
	 * @param nanos how long they took together
	 */
	public void tokensGenerated(int count, long nanos) {
		this.tokens += count;
		this.tokenNanos += nanos;
	}

	/**
	 * Learns that the limit was reached.
	 */
	public void limitReached() {
		this.inUse = true;
	}

	/**
	 * Learns that the engine has a queue or refused a request. The limit is lowered once
	 * a window, since the same queue is seen by every request in it.
	 */
	public void overloaded() {
		if (!this.strained) {
			lower();
		}
		this.strained = true;
		sampled();
	}

	/**
	 * Learns how many requests wait in the engine's own queue, from the engine's lagging
	 * report. Engines let requests in between two steps, so that one which has just come
	 * shows as waiting; only two reports in a row count as a queue. Where a report says
	 * that there is none, slow first outputs have another cause: a request that takes the
	 * place of one that has just ended always waits for a whole step, and against the
	 * baseline of an idle engine that looks like a queue.
	 * @param waiting requests in the engine's queue
	 */
	public void queueReported(int waiting) {
		this.reportAge = 0;
		this.waitingReports = (waiting > 0) ? this.waitingReports + 1 : 0;
		if (this.waitingReports >= REPORTS_OF_QUEUE) {
			overloaded();
		}
	}

	private boolean reportedEmpty() {
		return this.reportAge <= REPORT_WINDOWS && this.waitingReports < REPORTS_OF_QUEUE;
	}

	private void closeWindow() {
		this.reportAge++;
		if (this.untilProbe == 0) {
			endProbe();
		}
		else {
			adjust();
			// A probe of an engine that is hardly used would last long and meet the next
			// burst
			// with half the slots; one that reports its queue needs none.
			if (this.inUse && !reportedEmpty()) {
				this.untilProbe--;
			}
		}
		this.windowMinimum = Long.MAX_VALUE;
		this.tokens = 0;
		this.tokenNanos = 0;
		this.samples = 0;
		this.inUse = false;
		this.strained = false;
	}

	// First outputs that are much quicker at half the limit show that the engine had a
	// queue all along, even if no window was slower than the one before.
	private void endProbe() {
		if (!reportedEmpty() && muchSlower(this.baselineNanos, this.windowMinimum)) {
			this.limit = probeValue();
			this.quickWindows = 0;
			this.untilProbe = PROBE_AGAIN;
		}
		else {
			this.untilProbe = PROBE_EVERY;
		}
		learnBaseline();
	}

	private boolean muchSlower(long nanos, long base) {
		return nanos != Long.MAX_VALUE && base != Long.MAX_VALUE && nanos > (base * this.tolerance) + SLACK_NANOS;
	}

	private void adjust() {
		boolean slow = !reportedEmpty() && muchSlower(this.windowMinimum, this.baselineNanos);
		if (slow || slowTokens()) {
			if (!this.strained) {
				lower();
			}
		}
		else if (this.inUse && !this.strained) {
			this.limit = Math.min(this.maximum, this.limit + step());
		}
		this.baselineNanos = Math.min(this.baselineNanos, this.windowMinimum);
	}

	// The more windows in a row show no queue, the larger the step: by one at a time a
	// sidecar that has just started, or whose engine was slow once, would leave half of
	// the
	// engine idle for many seconds, and idle capacity lasts only seconds.
	private double step() {
		this.quickWindows++;
		return Math.max(1, Math.min(this.quickWindows, this.limit / LARGEST_STEP));
	}

	private boolean slowTokens() {
		return this.tokenTargetNanos > 0 && this.tokens > 0 && this.tokenNanos / this.tokens > this.tokenTargetNanos;
	}

	// An engine that got another model is slower for good: if the baseline never rose,
	// the
	// limit would fall to the minimum and stay there. If it rose while the engine has a
	// queue, the queue would count as normal and the limit would rise without end. So it
	// rises a little, and only in a window in which half the requests were let in.
	private void learnBaseline() {
		if (this.baselineNanos == Long.MAX_VALUE || this.windowMinimum < this.baselineNanos) {
			this.baselineNanos = this.windowMinimum;
		}
		else if (this.windowMinimum != Long.MAX_VALUE) {
			this.baselineNanos = Math.min(this.windowMinimum, (long) (this.baselineNanos * BASELINE_RISE));
		}
	}

	private void lower() {
		this.quickWindows = 0;
		this.limit = Math.max(this.minimum, this.limit * LOWER);
	}

	/**
	 * Builds limits.
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
		 * @param least the lowest value, at least one
		 * @param most the highest value
		 * @return this builder
		 */
		public Builder bounds(int least, int most) {
			if (least < 1 || most < least) {
				throw new IllegalArgumentException("bounds " + least + " to " + most + " are not ascending from 1");
			}
			this.minimum = least;
			this.maximum = most;
			return this;
		}

		/**
		 * Sets where the limit starts.
		 * @param value the first value; it is brought within the bounds
		 * @return this builder
		 */
		public Builder initial(int value) {
			this.initial = value;
			return this;
		}

		/**
		 * Sets how much slower than the quickest known a window's quickest first output
		 * may be.
		 * @param factor a factor above one
		 * @return this builder
		 */
		public Builder tolerance(double factor) {
			this.tolerance = factor;
			return this;
		}

		/**
		 * Sets how long a token may take.
		 * @param target the mean time of a token above which the limit is lowered; zero
		 * for no such bound
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
