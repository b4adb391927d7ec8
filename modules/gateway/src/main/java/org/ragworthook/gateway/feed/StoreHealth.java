package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Whether the platform's store answers this process.
 */
public final class StoreHealth {

	private static final EventLog LOG = EventLog.of(StoreHealth.class);

	private final Ticker ticker;

	private final AtomicLong lostNanos = new AtomicLong();

	private final AtomicLong regainedNanos = new AtomicLong();

	private volatile boolean up = true;

	private StoreHealth(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.regainedNanos.set(ticker.nanos() - Duration.ofHours(1).toNanos());
	}

	/**
	 * Returns the health of a store of which nothing is known.
	 * @param ticker the time
	 * @return a new health
	 */
	public static StoreHealth of(Ticker ticker) {
		return new StoreHealth(ticker);
	}

	/**
	 * Learns that the store has answered.
	 */
	public void answered() {
		if (!this.up) {
			this.up = true;
			this.regainedNanos.set(this.ticker.nanos());
			LOG.info("store_regained", "after_ms", (this.ticker.nanos() - this.lostNanos.get()) / 1_000_000);
		}
	}

	/**
	 * Learns that the store has not answered.
	 */
	public void failed() {
		if (this.up) {
			this.up = false;
			this.lostNanos.set(this.ticker.nanos());
			LOG.warning("store_lost");
		}
	}

	/**
	 * Tells whether the store answered last.
	 * @return whether it did
	 */
	public boolean up() {
		return this.up;
	}

	/**
	 * Returns for how long the store has not answered.
	 * @return the time, zero while it answers
	 */
	public Duration downFor() {
		return this.up ? Duration.ZERO : Duration.ofNanos(this.ticker.nanos() - this.lostNanos.get());
	}

	/**
	 * Returns how long the store has answered without a failure.
	 * @return the time, zero while it does not answer
	 */
	public Duration steady() {
		return this.up ? Duration.ofNanos(this.ticker.nanos() - this.regainedNanos.get()) : Duration.ZERO;
	}

}
