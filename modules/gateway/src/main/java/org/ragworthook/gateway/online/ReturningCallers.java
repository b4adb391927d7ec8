package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.ragworthook.core.time.Ticker;

/**
 * Recognises callers that have retried after a refusal, which retry only once: a second
 * refusal would lose their request. Attempts have ids of their own, so a caller is
 * recognised by its remaining time, which is less than the longest that callers of the
 * same account have stated for the same route recently. While an account has stated none,
 * the longest of all accounts counts: a caller retries at another entry, which may not
 * have seen its account before. A caller with a short deadline of its own is taken for
 * one that has retried, and is not refused; neither is one that states no deadline. Not
 * thread-safe: used on the event loop.
 */
final class ReturningCallers {

	/**
	 * Differences in the remaining time that first attempts may have, since callers state
	 * it before they connect. A refused caller has spent a round trip and its waiting
	 * time, which is rarely below this.
	 */
	static final Duration TOLERANCE = Duration.ofMillis(25);

	/** The longest time is that of the last one to two windows. */
	static final Duration WINDOW = Duration.ofSeconds(10);

	private final Ticker ticker;

	private Map<Sender, Duration> current = new HashMap<>();

	private Map<Sender, Duration> previous = new HashMap<>();

	private long windowStartNanos;

	ReturningCallers(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.windowStartNanos = ticker.nanos();
	}

	/**
	 * Returns whether a request is the first attempt of its caller, and remembers its
	 * remaining time.
	 * @param route the name of the route
	 * @param account the tag of the account
	 * @param stated the time that its caller still waits as stated by the caller, not
	 * limited by the timeout of the route: under a limit below the deadlines of callers,
	 * first and second attempts would look the same
	 * @return whether its caller can retry if it is refused
	 */
	boolean firstAttempt(String route, int account, Optional<Duration> stated) {
		long now = this.ticker.nanos();
		if (now - this.windowStartNanos >= WINDOW.toNanos()) {
			this.previous = this.current;
			this.current = new HashMap<>();
			this.windowStartNanos = now;
		}
		if (stated.isEmpty()) {
			return false;
		}
		Duration remaining = stated.get();
		Sender sender = new Sender(route, OptionalInt.of(account));
		Sender anyone = new Sender(route, OptionalInt.empty());
		Duration longest = longest(sender).or(() -> longest(anyone)).orElse(remaining);
		this.current.merge(sender, remaining, ReturningCallers::longer);
		this.current.merge(anyone, remaining, ReturningCallers::longer);
		return remaining.plus(TOLERANCE).compareTo(longest) >= 0;
	}

	private Optional<Duration> longest(Sender sender) {
		Optional<Duration> before = Optional.ofNullable(this.previous.get(sender));
		return Optional.ofNullable(this.current.get(sender))
			.map((now) -> before.map((other) -> longer(now, other)).orElse(now))
			.or(() -> before);
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

	/**
	 * Callers that state similar deadlines.
	 *
	 * @param route the name of the route
	 * @param account the tag of the account, or empty for all accounts
	 */
	private record Sender(String route, OptionalInt account) {
	}

}
