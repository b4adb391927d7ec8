package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;

/**
 * When a request is of no use any longer. Between processes it travels as the time that
 * is left, since their clocks differ.
 *
 * @param ticker the time
 * @param atNanos the ticker's reading, or empty for a request that is always of use
 */
public record Deadline(Ticker ticker, Optional<Long> atNanos) {

	/**
	 * Checks that all parts are there.
	 */
	public Deadline {
		Objects.requireNonNull(ticker, "ticker is null");
		Objects.requireNonNull(atNanos, "atNanos is null");
	}

	/**
	 * Returns a deadline some time from now.
	 * @param ticker the time
	 * @param left how long from now
	 * @return the deadline
	 */
	public static Deadline after(Ticker ticker, Duration left) {
		return new Deadline(ticker, Optional.of(ticker.nanos() + left.toNanos()));
	}

	/**
	 * Returns the deadline that never passes.
	 * @param ticker the time
	 * @return the deadline
	 */
	public static Deadline none(Ticker ticker) {
		return new Deadline(ticker, Optional.empty());
	}

	/**
	 * Returns the time that is left.
	 * @return the time, negative once the deadline has passed, or empty if there is no
	 * deadline
	 */
	public Optional<Duration> remaining() {
		return this.atNanos.map((at) -> Duration.ofNanos(at - this.ticker.nanos()));
	}

	/**
	 * Tells whether less than a given time is left.
	 * @param need the time
	 * @return whether the deadline passes before
	 */
	public boolean expiresWithin(Duration need) {
		return remaining().map((left) -> left.compareTo(need) <= 0).orElse(false);
	}

	/**
	 * Tells whether the deadline has passed.
	 * @return whether no time is left
	 */
	public boolean passed() {
		return expiresWithin(Duration.ZERO);
	}

	/**
	 * Returns the time that is left as a link's frame carries it.
	 * @return milliseconds, at least one, or zero if there is no deadline
	 */
	public int remainingMillis() {
		return remaining().map((left) -> (int) Math.max(1, Math.min(Integer.MAX_VALUE, left.toMillis()))).orElse(0);
	}

}
