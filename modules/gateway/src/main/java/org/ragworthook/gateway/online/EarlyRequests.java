package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.ragworthook.core.time.Timers;

/**
 * The requests that came before the process knew any configuration.
 * <p>
 * When all entries are killed together, each takes callers again some 0.5 s before it has
 * read its configuration. Refused, these callers use up their tries at entries that start
 * just as well: one sees a burst of refusals after each common restart. The configuration
 * is one answer of the store away, so they wait for it, unless the store is not
 * answering. Used on the event loop.
 */
final class EarlyRequests {

	/** Twice the time from taking callers to the first configuration, as logged. */
	static final Duration MOST = Duration.ofMillis(1_000);

	/** Requests that wait at most; an entry takes some 30 a second. */
	static final int LIMIT = 256;

	private final Timers timers;

	private final BooleanSupplier storeAnswers;

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	/**
	 * Makes an empty line.
	 * @param timers runs tasks later, on the event loop
	 * @param storeAnswers tells whether the configuration can be expected soon
	 */
	EarlyRequests(Timers timers, BooleanSupplier storeAnswers) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.storeAnswers = Objects.requireNonNull(storeAnswers, "storeAnswers is null");
	}

	/**
	 * Lets a request wait.
	 * @param serve goes on with the request once there is a configuration
	 * @param refuse refuses it when there is none in time
	 * @return whether it waits; if not, neither runs
	 */
	boolean admit(Runnable serve, Runnable refuse) {
		if (!this.storeAnswers.getAsBoolean() || this.waiting.size() >= LIMIT) {
			return false;
		}
		Waiting request = new Waiting(serve);
		this.waiting.add(request);
		request.timer = this.timers.schedule(MOST, () -> {
			if (this.waiting.remove(request)) {
				refuse.run();
			}
		});
		return true;
	}

	/**
	 * Learns that there is a configuration: those that wait go on, in order of arrival.
	 */
	void configured() {
		while (!this.waiting.isEmpty()) {
			Waiting next = this.waiting.remove();
			next.timer.cancel();
			next.serve.run();
		}
	}

	/**
	 * A request that waits.
	 */
	private static final class Waiting {

		private final Runnable serve;

		private Timers.Timer timer;

		Waiting(Runnable serve) {
			this.serve = serve;
		}

	}

}
