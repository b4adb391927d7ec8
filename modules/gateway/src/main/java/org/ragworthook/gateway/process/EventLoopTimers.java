package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.ragworthook.core.time.Timers;

/**
 * Timers that run their tasks on an event loop.
 */
final class EventLoopTimers implements Timers {

	private final EventLoop loop;

	EventLoopTimers(EventLoop loop) {
		this.loop = Objects.requireNonNull(loop, "loop is null");
	}

	@Override
	public Timer schedule(Duration delay, Runnable task) {
		Future<?> scheduled = this.loop.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
		return () -> scheduled.cancel(false);
	}

}
