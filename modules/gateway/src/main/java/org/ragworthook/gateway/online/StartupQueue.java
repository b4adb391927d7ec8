package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.ragworthook.core.time.Timers;

/**
 * Holds the requests that arrive before the process has read its first configuration.
 * <p>
 * When all entries restart together, each accepts callers about 0.5 s before it has read
 * its configuration. If these callers were rejected, they would use up their retries at
 * other entries that are starting as well, and each common restart would show as a burst
 * of rejections. The configuration is a single response of the store away, so the
 * requests wait for it unless the store is down. Used on the event loop.
 */
final class StartupQueue {

	/**
	 * Twice the typical time from accepting callers to the first configuration, as
	 * logged.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(1_000);

	/** Requests that may wait at a time; an entry receives about 30 a second. */
	static final int CAPACITY = 256;

	private final Timers timers;

	private final BooleanSupplier storeUp;

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	/**
	 * Creates an empty queue.
	 * @param timers runs tasks later, on the event loop
	 * @param storeUp returns whether the store answers, so that a configuration can be
	 * expected soon
	 */
	StartupQueue(Timers timers, BooleanSupplier storeUp) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.storeUp = Objects.requireNonNull(storeUp, "storeUp is null");
	}

	/**
	 * Adds a request, unless the store is down or the queue is full.
	 * @param serve serves the request once there is a configuration
	 * @param reject rejects the request after {@link #MAX_WAIT} without a configuration
	 * @return whether the request was added; if not, neither task is run
	 */
	boolean offer(Runnable serve, Runnable reject) {
		if (!this.storeUp.getAsBoolean() || this.waiting.size() >= CAPACITY) {
			return false;
		}
		Waiting request = new Waiting(serve);
		this.waiting.add(request);
		request.timer = this.timers.schedule(MAX_WAIT, () -> {
			if (this.waiting.remove(request)) {
				reject.run();
			}
		});
		return true;
	}

	/**
	 * Serves all waiting requests in order of arrival. Called when there is a
	 * configuration.
	 */
	void configurationAvailable() {
		while (!this.waiting.isEmpty()) {
			Waiting next = this.waiting.remove();
			next.timer.cancel();
			next.serve.run();
		}
	}

	/**
	 * A waiting request.
	 */
	private static final class Waiting {

		private final Runnable serve;

		private Timers.Timer timer;

		Waiting(Runnable serve) {
			this.serve = serve;
		}

	}

}
