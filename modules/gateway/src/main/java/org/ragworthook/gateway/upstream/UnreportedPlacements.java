package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

import org.ragworthook.core.time.Ticker;

/**
 * Estimates how many requests other entries have placed since their last reports, for the
 * choice of {@link Placement}. The balancer gives every entry about as many, so it goes
 * by the rate of this one. Used on the event loop.
 */
public final class UnreportedPlacements {

	/** Over how much time the rate is averaged. */
	private static final double AVERAGED_SECONDS = 1.0;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Ticker ticker;

	private final double ageSeconds;

	private final IntSupplier others;

	/** The requests placed here, each fading with time. */
	private double weight;

	private long weighedNanos;

	private UnreportedPlacements(Ticker ticker, Duration age, IntSupplier others) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.ageSeconds = age.toNanos() / NANOS_PER_SECOND;
		this.others = Objects.requireNonNull(others, "others is null");
		this.weighedNanos = ticker.nanos();
	}

	/**
	 * Returns an estimate that has seen no request.
	 * @param ticker the time
	 * @param age how old the report of another entry is on average
	 * @param others how many other entries are heard
	 * @return the estimate
	 */
	public static UnreportedPlacements of(Ticker ticker, Duration age, IntSupplier others) {
		return new UnreportedPlacements(ticker, age, others);
	}

	/**
	 * Learns that this entry has placed a request.
	 */
	public void recordPlacement() {
		fade();
		this.weight++;
	}

	/**
	 * Returns how many requests the others are likely to have placed.
	 * @return requests, 0 while no other entry is heard
	 */
	public double estimate() {
		fade();
		return this.weight / AVERAGED_SECONDS * this.ageSeconds * this.others.getAsInt();
	}

	private void fade() {
		long now = this.ticker.nanos();
		this.weight *= Math.exp(-(now - this.weighedNanos) / (AVERAGED_SECONDS * NANOS_PER_SECOND));
		this.weighedNanos = now;
	}

}
