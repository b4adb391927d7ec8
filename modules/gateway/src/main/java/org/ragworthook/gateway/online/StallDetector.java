package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Periodically checks the requests in progress for upstreams that have stalled.
 */
final class StallDetector {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(40);

	/**
	 * Longest time between two checks for the second one to count. After a longer one,
	 * this process was paused: what the upstreams have sent since is still unread.
	 */
	private static final Duration MAX_CHECK_DELAY = Duration.ofMillis(90);

	private final Ticker ticker;

	private final Timers timers;

	private final Set<OnlineExchange> exchanges = new HashSet<>();

	private long lastCheckNanos;

	private boolean running;

	StallDetector(Ticker ticker, Timers timers) {
		this.ticker = ticker;
		this.timers = timers;
	}

	void add(OnlineExchange exchange) {
		this.exchanges.add(exchange);
		if (!this.running) {
			this.running = true;
			this.lastCheckNanos = this.ticker.nanos();
			this.timers.schedule(CHECK_INTERVAL, this::check);
		}
	}

	void remove(OnlineExchange exchange) {
		this.exchanges.remove(exchange);
	}

	private void check() {
		long now = this.ticker.nanos();
		boolean late = now - this.lastCheckNanos > MAX_CHECK_DELAY.toNanos();
		this.lastCheckNanos = now;
		if (!late) {
			List.copyOf(this.exchanges).forEach((exchange) -> exchange.checkStall(now));
		}
		this.running = !this.exchanges.isEmpty();
		if (this.running) {
			this.timers.schedule(CHECK_INTERVAL, this::check);
		}
	}

}
