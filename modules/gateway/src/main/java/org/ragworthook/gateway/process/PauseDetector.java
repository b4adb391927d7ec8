package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Detects that this process was paused: by the machine, by an operator's signal, or by
 * its own garbage collection.
 * <p>
 * A process that resumes continues as if no time had passed. Reports that arrived during
 * the pause appear to arrive now, and what the process knew before appears to be still
 * valid. Used on the event loop.
 */
final class PauseDetector {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/**
	 * Time since the last check from which the process counts as paused. The checks of a
	 * busy process on a third of a processor are about ten milliseconds late.
	 */
	private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(400);

	/**
	 * How long received reports are not trusted after a pause: until the socket buffer
	 * has been read and peers have reported again.
	 */
	private static final Duration RECOVERY_TIME = Duration.ofMillis(1_000);

	private final Ticker ticker;

	private final Timers timers;

	private long checkedNanos;

	private long stableFromNanos;

	private int pauses;

	private PauseDetector(Ticker ticker, Timers timers) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.checkedNanos = ticker.nanos();
		this.stableFromNanos = this.checkedNanos;
	}

	/**
	 * Starts a detector.
	 * @param ticker the monotonic clock
	 * @param timers schedules the checks, on the event loop
	 * @return the detector
	 */
	static PauseDetector start(Ticker ticker, Timers timers) {
		PauseDetector detector = new PauseDetector(ticker, timers);
		timers.schedule(CHECK_INTERVAL, detector::round);
		return detector;
	}

	private void round() {
		check();
		this.timers.schedule(CHECK_INTERVAL, this::round);
	}

	private void check() {
		long now = this.ticker.nanos();
		if (now - this.checkedNanos >= PAUSE_THRESHOLD.toNanos()) {
			this.pauses++;
			this.stableFromNanos = now + RECOVERY_TIME.toNanos();
		}
		this.checkedNanos = now;
	}

	/**
	 * Returns the number of pauses since the start of the process, including one that has
	 * just ended.
	 * @return the number of pauses
	 */
	int pauses() {
		check();
		return this.pauses;
	}

	/**
	 * Returns whether the process was not paused recently.
	 * @return whether received reports can be trusted to be as recent as they appear
	 */
	boolean stable() {
		check();
		return this.ticker.nanos() - this.stableFromNanos >= 0;
	}

}
