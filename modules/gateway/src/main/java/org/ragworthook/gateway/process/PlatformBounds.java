package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The time bounds that the platform sets: how soon changes must take effect in a process,
 * and how long the platform retains them.
 *
 * @param drainDeadline how soon after an upstream has announced that it leaves no more
 * requests may be sent to it
 * @param historyRetention how long the platform can deliver a change; a watch that
 * resumes from an older version has to list anew
 * @param maxRevocationDelay how long after its revocation a key may still be accepted,
 * also by a process that is cut off; empty for no bound
 */
public record PlatformBounds(Duration drainDeadline, Duration historyRetention, Optional<Duration> maxRevocationDelay) {

	/** The bounds of a platform that states none. */
	public static final PlatformBounds DEFAULT = new PlatformBounds(Duration.ofSeconds(2), Duration.ofSeconds(20),
			Optional.empty());

	private static final Duration MAX_WATCH_TIMEOUT = Duration.ofSeconds(25);

	private static final double HISTORY_FRACTION = 0.8;

	/**
	 * Checks that no component is null.
	 */
	public PlatformBounds {
		Objects.requireNonNull(drainDeadline, "drainDeadline is null");
		Objects.requireNonNull(historyRetention, "historyRetention is null");
		Objects.requireNonNull(maxRevocationDelay, "maxRevocationDelay is null");
	}

	/**
	 * Returns how long one watch call waits for changes.
	 * @return less than the retention of the history, so that a watch without changes can
	 * be resumed
	 */
	Duration watchTimeout() {
		Duration limit = Duration.ofNanos((long) (this.historyRetention.toNanos() * HISTORY_FRACTION));
		return (limit.compareTo(MAX_WATCH_TIMEOUT) < 0) ? limit : MAX_WATCH_TIMEOUT;
	}

}
