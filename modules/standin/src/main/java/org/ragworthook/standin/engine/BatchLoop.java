package org.ragworthook.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Continuous batching. Each step generates one token for every running request and takes
 * longer the more of them there are. Requests are admitted in arrival order when a step
 * begins and a slot is free. Used on one thread.
 */
final class BatchLoop {

	private static final int PREFILL_CHUNK = 2_048;

	private final EngineSettings settings;

	private final Ticker ticker;

	private final Timers timers;

	private final PrefixCache cache;

	private final Observer observer;

	private final Deque<Generation> waiting = new ArrayDeque<>();

	private final List<Generation> running = new ArrayList<>();

	private boolean stepping;

	private long due;

	private long epoch;

	BatchLoop(EngineSettings settings, Ticker ticker, Timers timers, PrefixCache cache, Observer observer) {
		this.settings = Objects.requireNonNull(settings, "settings is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.cache = Objects.requireNonNull(cache, "cache is null");
		this.observer = Objects.requireNonNull(observer, "observer is null");
	}

	int running() {
		return this.running.size();
	}

	int waiting() {
		return this.waiting.size();
	}

	void submit(Generation generation) {
		this.waiting.addLast(generation);
		if (!this.stepping) {
			this.stepping = true;
			this.due = this.ticker.nanos();
			begin();
		}
	}

	/**
	 * Takes a request out at once, wherever it is.
	 * @param generation the request
	 */
	void cancel(Generation generation) {
		generation.cancel();
		this.waiting.remove(generation);
		this.running.remove(generation);
	}

	/**
	 * Drops all requests, as a crash does.
	 */
	void clear() {
		this.waiting.clear();
		this.running.clear();
		this.stepping = false;
		this.epoch++;
	}

	private void begin() {
		while (this.running.size() < this.settings.slots() && !this.waiting.isEmpty()) {
			Generation admitted = this.waiting.removeFirst();
			admitted.admitted(this.cache.enter(admitted.prompt().text()));
			this.running.add(admitted);
			this.observer.admitted(admitted);
		}
		if (this.running.isEmpty()) {
			this.stepping = false;
			return;
		}
		long begun = this.epoch;
		long now = this.ticker.nanos();
		this.due = Math.max(this.due, now) + duration(prefill()).toNanos();
		this.timers.schedule(Duration.ofNanos(this.due - now), () -> end(begun));
	}

	private int prefill() {
		int used = 0;
		for (Generation generation : this.running) {
			used += generation.prefill(PREFILL_CHUNK - used);
		}
		return used;
	}

	private Duration duration(int prefilled) {
		return this.settings.tokenTime()
			.plus(this.settings.tokenGrowth().multipliedBy(this.running.size() - 1L))
			.plus(this.settings.prefillTime().multipliedBy(prefilled));
	}

	private void end(long begun) {
		if (begun != this.epoch) {
			return;
		}
		for (Generation generation : List.copyOf(this.running)) {
			if (generation.cancelled()) {
				continue;
			}
			boolean finished = generation.step();
			if (generation.prompt().crashes() && generation.produced() > 0) {
				this.observer.crashed();
				return;
			}
			if (finished) {
				this.running.remove(generation);
				this.observer.finished(generation);
			}
		}
		begin();
	}

	/**
	 * Is told what the loop does.
	 */
	interface Observer {

		/**
		 * A request got a slot.
		 * @param generation the request
		 */
		void admitted(Generation generation);

		/**
		 * A request generated its last token.
		 * @param generation the request
		 */
		void finished(Generation generation);

		/**
		 * A request crashed the engine.
		 */
		void crashed();

	}

}
