package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Notices that this process was paused: by the machine, the operator or itself.
 * <p>
 * A process that wakes goes on as if no time had passed. What came in meanwhile looks as
 * if it came now, and what it knew looks as if it still held. Used on the event loop.
 */
final class PauseWatch {

	private static final Duration LOOK = Duration.ofMillis(100);

	/**
	 * How late a look may be before that counts as a pause. A busy process on a third of
	 * a processor is late by some ten milliseconds.
	 */
	private static final Duration LATE = Duration.ofMillis(400);

	/**
	 * How long what is heard after a pause is not trusted: as long as what the kernel has
	 * kept is read, and peers have reported anew.
	 */
	private static final Duration UNSTEADY = Duration.ofMillis(1_000);

	private final Ticker ticker;

	private final Timers timers;

	private long lookedNanos;

	private long unsteadyUntilNanos;

	private int pauses;

	private PauseWatch(Ticker ticker, Timers timers) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.lookedNanos = ticker.nanos();
		this.unsteadyUntilNanos = this.lookedNanos;
	}

	/**
	 * Begins to watch.
	 * @param ticker the time
	 * @param timers runs tasks later, on the event loop
	 * @return the watch
	 */
	static PauseWatch start(Ticker ticker, Timers timers) {
		PauseWatch watch = new PauseWatch(ticker, timers);
		timers.schedule(LOOK, watch::round);
		return watch;
	}

	private void round() {
		look();
		this.timers.schedule(LOOK, this::round);
	}

	private void look() {
		long now = this.ticker.nanos();
		if (now - this.lookedNanos >= LATE.toNanos()) {
			this.pauses++;
			this.unsteadyUntilNanos = now + UNSTEADY.toNanos();
		}
		this.lookedNanos = now;
	}

	/**
	 * Returns how often the process was paused so far, a pause that has just ended
	 * included.
	 * @return the count
	 */
	int pauses() {
		look();
		return this.pauses;
	}

	/**
	 * Tells whether the process was not paused a moment ago.
	 * @return whether what it has heard can be trusted
	 */
	boolean steady() {
		look();
		return this.ticker.nanos() - this.unsteadyUntilNanos >= 0;
	}

}
