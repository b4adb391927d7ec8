package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Records whether the platform's store answers this process.
 */
public final class StoreHealth {

	private static final EventLog LOG = EventLog.of(StoreHealth.class);

	private final Ticker ticker;

	private final AtomicLong downSinceNanos = new AtomicLong();

	private final AtomicLong upSinceNanos = new AtomicLong();

	private volatile boolean up = true;

	private StoreHealth(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.upSinceNanos.set(ticker.nanos() - Duration.ofHours(1).toNanos());
	}

	/**
	 * Returns the health of a store that counts as up until a call fails.
	 * @param ticker the monotonic clock
	 * @return a new health
	 */
	public static StoreHealth of(Ticker ticker) {
		return new StoreHealth(ticker);
	}

	/**
	 * Called when the store has answered.
	 */
	public void recordSuccess() {
		if (!this.up) {
			this.up = true;
			this.upSinceNanos.set(this.ticker.nanos());
			LOG.info("store_regained", "after_ms", (this.ticker.nanos() - this.downSinceNanos.get()) / 1_000_000);
		}
	}

	/**
	 * Called when the store has not answered.
	 */
	public void recordFailure() {
		if (this.up) {
			this.up = false;
			this.downSinceNanos.set(this.ticker.nanos());
			LOG.warning("store_lost");
		}
	}

	/**
	 * Returns whether the store answered the last call.
	 * @return whether it is up
	 */
	public boolean up() {
		return this.up;
	}

	/**
	 * Returns for how long the store has not answered.
	 * @return the duration, zero while it is up
	 */
	public Duration downFor() {
		return this.up ? Duration.ZERO : Duration.ofNanos(this.ticker.nanos() - this.downSinceNanos.get());
	}

	/**
	 * Returns for how long the store has answered without a failure.
	 * @return the duration, zero while it is down
	 */
	public Duration upFor() {
		return this.up ? Duration.ofNanos(this.ticker.nanos() - this.upSinceNanos.get()) : Duration.ZERO;
	}

}
