package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;

/**
 * The time after which the result of a request is useless. Processes exchange the
 * remaining time instead of a point in time, since their clocks differ.
 *
 * @param ticker the monotonic clock
 * @param atNanos the ticker's reading at the deadline, or empty for no deadline
 */
public record Deadline(Ticker ticker, Optional<Long> atNanos) {

	/**
	 * Checks that no component is null.
	 */
	public Deadline {
		Objects.requireNonNull(ticker, "ticker is null");
		Objects.requireNonNull(atNanos, "atNanos is null");
	}

	/**
	 * Returns a deadline relative to now.
	 * @param ticker the monotonic clock
	 * @param remaining the time from now to the deadline
	 * @return the deadline
	 */
	public static Deadline after(Ticker ticker, Duration remaining) {
		return new Deadline(ticker, Optional.of(ticker.nanos() + remaining.toNanos()));
	}

	/**
	 * Returns a deadline that never passes.
	 * @param ticker the monotonic clock
	 * @return the deadline
	 */
	public static Deadline none(Ticker ticker) {
		return new Deadline(ticker, Optional.empty());
	}

	/**
	 * Returns the remaining time.
	 * @return the time, negative after the deadline has passed, or empty if there is no
	 * deadline
	 */
	public Optional<Duration> remaining() {
		return this.atNanos.map((at) -> Duration.ofNanos(at - this.ticker.nanos()));
	}

	/**
	 * Returns whether the deadline passes within a given time.
	 * @param time the time from now
	 * @return whether at most that time remains; false if there is no deadline
	 */
	public boolean expiresWithin(Duration time) {
		return remaining().map((remaining) -> remaining.compareTo(time) <= 0).orElse(false);
	}

	/**
	 * Returns whether the deadline has passed.
	 * @return whether no time remains
	 */
	public boolean passed() {
		return expiresWithin(Duration.ZERO);
	}

	/**
	 * Returns the remaining time as it is sent to other processes.
	 * @return the time in milliseconds, at least 1; 0 if there is no deadline
	 */
	public int remainingMillis() {
		return remaining().map((remaining) -> (int) Math.max(1, Math.min(Integer.MAX_VALUE, remaining.toMillis())))
			.orElse(0);
	}

}
