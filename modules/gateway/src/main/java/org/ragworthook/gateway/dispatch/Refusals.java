package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;

/**
 * The refusals that a dispatcher has sent recently. A request whose refusal was lost is
 * sent again and gets the same answer; otherwise the dispatcher might grant it a slot
 * after its caller was told to retry, or expect that caller twice.
 */
final class Refusals {

	/** Time in which an entry sends a request again, several times over. */
	private static final Duration LIFETIME = Duration.ofMillis(400);

	private final Ticker ticker;

	/** The ticker's readings, in the order of the refusals. */
	private final Map<SlotRequest, Refusal> refusals = new LinkedHashMap<>();

	Refusals(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Adds a refusal.
	 * @param request the request
	 * @param retryAfter the time after which its caller may retry
	 */
	void add(SlotRequest request, Duration retryAfter) {
		long now = this.ticker.nanos();
		this.refusals.put(request, new Refusal(now, now + retryAfter.toNanos()));
	}

	/**
	 * Returns the time until the caller of a request may retry that was refused before.
	 * @param request the request
	 * @return the time, at least 0, or empty if the request was not refused
	 */
	Optional<Duration> find(SlotRequest request) {
		return Optional.ofNullable(this.refusals.get(request))
			.map((refusal) -> Duration.ofNanos(Math.max(0, refusal.retryNanos - this.ticker.nanos())));
	}

	/** Removes refusals that no entry can ask for again. */
	void expire() {
		long expiredNanos = this.ticker.nanos() - LIFETIME.toNanos();
		Iterator<Refusal> oldestFirst = this.refusals.values().iterator();
		while (oldestFirst.hasNext() && oldestFirst.next().refusedNanos - expiredNanos <= 0) {
			oldestFirst.remove();
		}
	}

	/**
	 * A refusal.
	 *
	 * @param refusedNanos the ticker's reading when it was sent
	 * @param retryNanos the ticker's reading when the caller may retry
	 */
	private record Refusal(long refusedNanos, long retryNanos) {
	}

}
