package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Looks through the requests in progress for upstreams that have fallen silent.
 */
final class StallWatch {

	private static final Duration ROUND = Duration.ofMillis(40);

	/**
	 * A round that comes later than this says that this process stood still, not the
	 * upstreams: their bytes wait to be read.
	 */
	private static final Duration LATE = Duration.ofMillis(90);

	private final Ticker ticker;

	private final Timers timers;

	private final Set<OnlineExchange> exchanges = new HashSet<>();

	private long lastNanos;

	private boolean running;

	StallWatch(Ticker ticker, Timers timers) {
		this.ticker = ticker;
		this.timers = timers;
	}

	void add(OnlineExchange exchange) {
		this.exchanges.add(exchange);
		if (!this.running) {
			this.running = true;
			this.lastNanos = this.ticker.nanos();
			this.timers.schedule(ROUND, this::round);
		}
	}

	void remove(OnlineExchange exchange) {
		this.exchanges.remove(exchange);
	}

	private void round() {
		long now = this.ticker.nanos();
		boolean late = now - this.lastNanos > LATE.toNanos();
		this.lastNanos = now;
		if (!late) {
			List.copyOf(this.exchanges).forEach((exchange) -> exchange.checkStall(now));
		}
		this.running = !this.exchanges.isEmpty();
		if (this.running) {
			this.timers.schedule(ROUND, this::round);
		}
	}

}
