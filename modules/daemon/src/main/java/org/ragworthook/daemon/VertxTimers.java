package org.ragworthook.daemon;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Vertx;
import org.ragworthook.core.time.Timers;

/**
 * Timers that run on an event loop.
 */
public final class VertxTimers implements Timers {

	private final Vertx vertx;

	private VertxTimers(Vertx vertx) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
	}

	/**
	 * Returns timers.
	 * @param vertx runs the tasks
	 * @return the timers
	 */
	public static VertxTimers of(Vertx vertx) {
		return new VertxTimers(vertx);
	}

	@Override
	public Timer schedule(Duration delay, Runnable task) {
		long id = this.vertx.setTimer(Math.max(1, delay.toMillis()), (ignored) -> task.run());
		return () -> this.vertx.cancelTimer(id);
	}

}
