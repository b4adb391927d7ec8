package org.ragworthook.standin;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Vertx;
import org.ragworthook.core.time.Timers;

/**
 * Timers that run on the event loop they are set on.
 */
public final class VertxTimers implements Timers {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private VertxTimers(Vertx vertx) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
	}

	/**
	 * Returns timers.
	 * @param vertx runs them
	 * @return the timers
	 */
	public static VertxTimers of(Vertx vertx) {
		return new VertxTimers(vertx);
	}

	@Override
	public Timer schedule(Duration delay, Runnable task) {
		long millis = Math.max(1, (delay.toNanos() + NANOS_PER_MILLI / 2) / NANOS_PER_MILLI);
		long id = this.vertx.setTimer(millis, (timer) -> task.run());
		return () -> this.vertx.cancelTimer(id);
	}

}
