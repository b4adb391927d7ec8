package org.ragworthook.gateway.http;

import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.ragworthook.core.time.Ticker;

/**
 * Decides whether an upstream may have cut off a response because this process did not
 * read it. Used on the event loop of a connection.
 * <p>
 * Upstreams cut off a response that stays unread for some seconds. This process does not
 * read while a caller's connection holds its share of the memory, and while the process
 * itself is paused.
 */
final class ReadingPauses {

	/**
	 * Shortest pause that can be the cause. Upstreams wait longer; a cut after a shorter
	 * pause counts against the upstream.
	 */
	static final Duration MIN_PAUSE = Duration.ofSeconds(1);

	private final Ticker ticker;

	private final IntSupplier processPauses;

	private int processPausesBefore;

	private boolean reading = true;

	private long pausedNanos;

	/** Whether a pause of the request in progress was long enough. */
	private boolean longPause;

	/**
	 * Creates the record of a connection that is read.
	 * @param ticker the monotonic clock
	 * @param processPauses returns how often this process was paused so far
	 */
	ReadingPauses(Ticker ticker, IntSupplier processPauses) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.processPauses = Objects.requireNonNull(processPauses, "processPauses is null");
	}

	/**
	 * Called when a request is sent.
	 */
	void requestStarted() {
		this.longPause = false;
		this.processPausesBefore = this.processPauses.getAsInt();
	}

	/**
	 * Called when reading is paused or resumed.
	 * @param on whether the connection is read from now on
	 */
	void reading(boolean on) {
		this.longPause |= paused();
		if (this.reading && !on) {
			this.pausedNanos = this.ticker.nanos();
		}
		this.reading = on;
	}

	private boolean paused() {
		return !this.reading && this.ticker.nanos() - this.pausedNanos >= MIN_PAUSE.toNanos();
	}

	/**
	 * Returns whether the end of a connection may be due to a pause.
	 * @return whether there was a long pause since the request was sent
	 */
	boolean mayHaveCutOff() {
		return this.longPause || paused() || this.processPauses.getAsInt() != this.processPausesBefore;
	}

}
