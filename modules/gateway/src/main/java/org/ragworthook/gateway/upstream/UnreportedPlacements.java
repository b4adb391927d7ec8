package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.ragworthook.core.time.Ticker;

/**
 * Estimates how many requests other entries have placed since their last reports, for the
 * choice of {@link Placement}. The load balancer gives every entry about the same number
 * of requests, so the estimate is based on the rate of this entry. Not thread-safe: used
 * on the event loop.
 */
public final class UnreportedPlacements {

	/** Time constant of the moving average of the rate, in seconds. */
	private static final double RATE_DECAY_SECONDS = 1.0;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Ticker ticker;

	private final double reportAgeSeconds;

	private final IntSupplier reachableEntries;

	/** Exponentially decayed count of the requests placed by this entry. */
	private double decayedCount;

	private long decayedNanos;

	private UnreportedPlacements(Ticker ticker, Duration reportAge, IntSupplier reachableEntries) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.reportAgeSeconds = reportAge.toNanos() / NANOS_PER_SECOND;
		this.reachableEntries = Objects.requireNonNull(reachableEntries, "reachableEntries is null");
		this.decayedNanos = ticker.nanos();
	}

	/**
	 * Returns an estimate without requests.
	 * @param ticker the monotonic clock
	 * @param reportAge the mean age of the latest report of another entry
	 * @param reachableEntries returns the number of other entries that can be reached
	 * @return a new estimate
	 */
	public static UnreportedPlacements of(Ticker ticker, Duration reportAge, IntSupplier reachableEntries) {
		return new UnreportedPlacements(ticker, reportAge, reachableEntries);
	}

	/** Called when this entry has placed a request. */
	public void recordPlacement() {
		decay();
		this.decayedCount++;
	}

	/**
	 * Returns how many requests the other entries have probably placed since their
	 * reports.
	 * @return the number of requests, 0 while no other entry can be reached
	 */
	public double estimate() {
		decay();
		return this.decayedCount / RATE_DECAY_SECONDS * this.reportAgeSeconds * this.reachableEntries.getAsInt();
	}

	private void decay() {
		long now = this.ticker.nanos();
		this.decayedCount *= Math.exp(-(now - this.decayedNanos) / (RATE_DECAY_SECONDS * NANOS_PER_SECOND));
		this.decayedNanos = now;
	}

}
