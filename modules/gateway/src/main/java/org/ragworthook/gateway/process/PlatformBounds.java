package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * How soon changes at the platform have to hold in a process, and how long the platform
 * remembers them.
 *
 * @param drainDeadline how soon after an upstream says that it leaves nothing may be sent
 * to it any longer
 * @param historyRetention how long the platform can tell of a change; a watch that waits
 * longer is told to list anew
 * @param maxRevocationDelay how long after its revocation a key may still be accepted by
 * a process, cut off or not; empty for no bound
 */
public record PlatformBounds(Duration drainDeadline, Duration historyRetention, Optional<Duration> maxRevocationDelay) {

	/** What holds where the platform states nothing. */
	public static final PlatformBounds DEFAULT = new PlatformBounds(Duration.ofSeconds(2), Duration.ofSeconds(20),
			Optional.empty());

	private static final Duration LONGEST_WATCH = Duration.ofSeconds(25);

	private static final double PART_OF_HISTORY = 0.8;

	/**
	 * Checks the parts.
	 */
	public PlatformBounds {
		Objects.requireNonNull(drainDeadline, "drainDeadline is null");
		Objects.requireNonNull(historyRetention, "historyRetention is null");
		Objects.requireNonNull(maxRevocationDelay, "maxRevocationDelay is null");
	}

	/**
	 * Returns how long one call waits for changes.
	 * @return less than the platform remembers, so that a quiet watch can go on
	 */
	Duration watch() {
		Duration remembered = Duration.ofNanos((long) (this.historyRetention.toNanos() * PART_OF_HISTORY));
		return (remembered.compareTo(LONGEST_WATCH) < 0) ? remembered : LONGEST_WATCH;
	}

}
