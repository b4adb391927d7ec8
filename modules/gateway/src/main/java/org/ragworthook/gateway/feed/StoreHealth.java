package org.ragworthook.gateway.feed;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Records whether the platform's store answers this process.
 * <p>
 * A watch that is cut off is no outage: the store may end one that waits. Whether the
 * store is down is decided by the next call, which does not wait at the store.
 */
public final class StoreHealth {

	private static final EventLog LOG = EventLog.of(StoreHealth.class);

	/** How soon after an outage the platform lists all live entries again. */
	static final Duration SETTLING_TIME = Duration.ofMillis(2_000);

	/**
	 * The longest time without a response that cannot hide an outage in which entries
	 * expire: less than three heartbeats of an upstream.
	 */
	private static final Duration MAX_RESPONSE_GAP = Duration.ofMillis(2_000);

	/**
	 * How soon after a watch was cut off the next listing is answered by a store that was
	 * up at the cut.
	 */
	private static final Duration PROMPT_RESPONSE = Duration.ofMillis(500);

	private final Ticker ticker;

	private final AtomicLong downSinceNanos = new AtomicLong();

	private final AtomicLong upSinceNanos = new AtomicLong();

	private final AtomicLong lastResponseNanos = new AtomicLong();

	private final List<LongConsumer> listeners = new CopyOnWriteArrayList<>();

	private final List<Runnable> overdueListeners = new CopyOnWriteArrayList<>();

	/** When a watch was cut off; empty once a later call has been answered. */
	private volatile Optional<Long> interruptedNanos = Optional.empty();

	private volatile boolean up = true;

	private StoreHealth(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.upSinceNanos.set(ticker.nanos() - Duration.ofHours(1).toNanos());
		this.lastResponseNanos.set(ticker.nanos());
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
	 * Adds a listener for calls that got no response within their time limit. The
	 * response to a watch that was open at that time may be lost as well.
	 * @param listener called with the time since which the store has owed the response,
	 * by the monotonic clock in nanoseconds
	 */
	public void onUnanswered(LongConsumer listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Adds a listener for calls that are answered late. Idle connections to the store may
	 * have gone silent.
	 * @param listener called before the call is sent again
	 */
	public void onOverdue(Runnable listener) {
		this.overdueListeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Called when a call has no answer yet and is about to be sent again.
	 */
	public void recordOverdue() {
		this.overdueListeners.forEach(Runnable::run);
	}

	/**
	 * Called when the store has answered a listing or a watch.
	 */
	public void recordSuccess() {
		long now = this.ticker.nanos();
		if (!this.up) {
			this.up = true;
			this.upSinceNanos.set(now);
			LOG.info("store_regained", "after_ms", (now - this.downSinceNanos.get()) / 1_000_000);
		}
		else if (mayFollowOutage(now) && this.interruptedNanos.filter((cut) -> !isPrompt(cut, now)).isPresent()) {
			this.upSinceNanos.set(now);
		}
		this.interruptedNanos = Optional.empty();
		this.lastResponseNanos.set(now);
	}

	/**
	 * Called when a watch or a check has ended without a response. An outage that has
	 * ended before may have gone unnoticed if the store has not answered for some time.
	 */
	public void recordInterruption() {
		long now = this.ticker.nanos();
		if (!this.up || this.interruptedNanos.isPresent()) {
			return;
		}
		this.interruptedNanos = Optional.of(now);
		if (mayFollowOutage(now)) {
			this.upSinceNanos.set(now);
		}
	}

	private boolean mayFollowOutage(long now) {
		return now - this.lastResponseNanos.get() > MAX_RESPONSE_GAP.toNanos();
	}

	private static boolean isPrompt(long cut, long now) {
		return now - cut <= PROMPT_RESPONSE.toNanos();
	}

	/**
	 * Called when the store has not answered a listing.
	 */
	public void recordFailure() {
		if (this.up) {
			this.up = false;
			this.downSinceNanos.set(this.interruptedNanos.orElseGet(this.ticker::nanos));
			LOG.warning("store_lost");
		}
	}

	/**
	 * Called when a call of any kind got no response within its time limit. Unless it has
	 * answered another call a moment ago, the store may have been away until now, so it
	 * counts as up from now at the earliest.
	 * @param owedSinceNanos since when the store has owed the response, by the monotonic
	 * clock
	 */
	public void recordUnanswered(long owedSinceNanos) {
		long now = this.ticker.nanos();
		if (mayFollowOutage(now)) {
			this.upSinceNanos.set(now);
		}
		this.listeners.forEach((listener) -> listener.accept(owedSinceNanos));
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
	 * Returns for how long the store has answered without an outage.
	 * @return the duration, zero while it is down
	 */
	public Duration upFor() {
		return this.up ? Duration.ofNanos(this.ticker.nanos() - this.upSinceNanos.get()) : Duration.ZERO;
	}

	/**
	 * Returns how long it takes until entries that expired during an outage are listed
	 * again, if the store stays up.
	 * @return the duration, zero if all live entries are listed
	 */
	public Duration untilSettled() {
		Duration left = SETTLING_TIME.minus(upFor());
		return left.isNegative() ? Duration.ZERO : left;
	}

}
