package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.ragworthook.core.time.Ticker;

/**
 * Enforces the limits of one account at one entry: requests per second, requests in
 * flight and tokens per second. Thread-safe; no call blocks.
 */
public final class AccountGate {

	private static final Duration IN_FLIGHT_RETRY_AFTER = Duration.ofSeconds(1);

	private final TokenBucket requests;

	private final TokenBucket tokens;

	private final AtomicInteger inFlight = new AtomicInteger();

	private volatile int inFlightLimit;

	private AccountGate(Ticker ticker) {
		this.requests = TokenBucket.of(ticker);
		this.tokens = TokenBucket.of(ticker);
	}

	/**
	 * Returns a gate without limits.
	 * @param ticker the monotonic clock
	 * @return a new gate
	 */
	public static AccountGate of(Ticker ticker) {
		return new AccountGate(Objects.requireNonNull(ticker, "ticker is null"));
	}

	/**
	 * Replaces the limits. Requests in flight and the usage so far stay counted.
	 * @param requestsPerSecond requests per second at this entry, or zero for no limit
	 * @param requestsInFlight requests in flight at this entry, or zero for no limit
	 * @param tokensPerSecond tokens per second at this entry, or zero for no limit
	 */
	public void setLimits(double requestsPerSecond, int requestsInFlight, double tokensPerSecond) {
		this.requests.setRate(requestsPerSecond);
		this.tokens.setRate(tokensPerSecond);
		this.inFlightLimit = requestsInFlight;
	}

	/**
	 * Admits a request if no limit is exceeded. Each admitted request must be released
	 * with {@link #release(int)}.
	 * @return empty if the request is admitted, else the limit that refuses it
	 */
	public Optional<Refusal> admit() {
		Duration tokenWait = this.tokens.timeUntilAvailable();
		if (!tokenWait.isZero()) {
			return Optional.of(new Refusal("tokens per second", tokenWait));
		}
		if (!incrementInFlight(this.inFlightLimit)) {
			return Optional.of(new Refusal("requests in flight", IN_FLIGHT_RETRY_AFTER));
		}
		Duration wait = this.requests.tryTake();
		if (!wait.isZero()) {
			this.inFlight.decrementAndGet();
			return Optional.of(new Refusal("requests per second", wait));
		}
		return Optional.empty();
	}

	// Uses compare-and-set, since with an increment that is undone above the limit, a
	// request that is about to be refused would count for a moment, and another could
	// be refused although there is room for it.
	private boolean incrementInFlight(int limit) {
		int current = this.inFlight.get();
		while (limit <= 0 || current < limit) {
			if (this.inFlight.compareAndSet(current, current + 1)) {
				return true;
			}
			current = this.inFlight.get();
		}
		return false;
	}

	/**
	 * Called when an admitted request has ended.
	 * @param tokensUsed tokens of its prompt and answer. The number is known only at the
	 * end, so a request may exceed the limit; later requests are refused until the excess
	 * has been made up for
	 */
	public void release(int tokensUsed) {
		this.inFlight.decrementAndGet();
		this.tokens.charge(tokensUsed);
	}

	/**
	 * Returns the account's requests in flight at this entry.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Why a request was not admitted.
	 *
	 * @param limit the name of the limit that was reached, for the error message
	 * @param retryAfter how long until a request can be admitted
	 */
	public record Refusal(String limit, Duration retryAfter) {

		/**
		 * Checks that no component is null.
		 */
		public Refusal {
			Objects.requireNonNull(limit, "limit is null");
			Objects.requireNonNull(retryAfter, "retryAfter is null");
		}

	}

}
