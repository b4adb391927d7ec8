package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.ragworthook.core.time.Ticker;

/**
 * Holds one account to its limits at one entry: requests a second, requests in flight and
 * tokens a second. Any number of threads may use it; none waits.
 */
public final class AccountGate {

	private static final Duration IN_FLIGHT_WAIT = Duration.ofSeconds(1);

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
	 * @param ticker the time
	 * @return a new gate
	 */
	public static AccountGate of(Ticker ticker) {
		return new AccountGate(Objects.requireNonNull(ticker, "ticker is null"));
	}

	/**
	 * Puts other limits in force. What is in flight and what has been used so far stays
	 * counted.
	 * @param requestsPerSecond requests a second at this entry, or zero for no limit
	 * @param requestsInFlight requests in flight at this entry, or zero for no limit
	 * @param tokensPerSecond tokens a second at this entry, or zero for no limit
	 */
	public void setLimits(double requestsPerSecond, int requestsInFlight, double tokensPerSecond) {
		this.requests.setRate(requestsPerSecond);
		this.tokens.setRate(tokensPerSecond);
		this.inFlightLimit = requestsInFlight;
	}

	/**
	 * Asks for a request to be let in. A request that is let in must be ended with
	 * {@link #release(int)}.
	 * @return empty if it is let in, else what kept it out
	 */
	public Optional<Refusal> admit() {
		Duration tokenDebt = this.tokens.timeUntilAvailable();
		if (!tokenDebt.isZero()) {
			return Optional.of(new Refusal("tokens per second", tokenDebt));
		}
		if (!enter(this.inFlightLimit)) {
			return Optional.of(new Refusal("requests in flight", IN_FLIGHT_WAIT));
		}
		Duration wait = this.requests.tryTake();
		if (!wait.isZero()) {
			this.inFlight.decrementAndGet();
			return Optional.of(new Refusal("requests per second", wait));
		}
		return Optional.empty();
	}

	// Counted up first and taken back when over the limit, the count would for a moment
	// hold a request that is refused, and refuse another for which there is room.
	private boolean enter(int limit) {
		int seen = this.inFlight.get();
		while (limit <= 0 || seen < limit) {
			if (this.inFlight.compareAndSet(seen, seen + 1)) {
				return true;
			}
			seen = this.inFlight.get();
		}
		return false;
	}

	/**
	 * Learns that a request that was let in has ended.
	 * @param tokensUsed the tokens of its prompt and answer. They are known only now, so
	 * a request may take the account beyond its limit; the next ones wait for it
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
	 * Why a request was not let in.
	 *
	 * @param limit the limit, as an operator knows it
	 * @param retryAfter after which time a request can be let in
	 */
	public record Refusal(String limit, Duration retryAfter) {

		/**
		 * Checks the parts.
		 */
		public Refusal {
			Objects.requireNonNull(limit, "limit is null");
			Objects.requireNonNull(retryAfter, "retryAfter is null");
		}

	}

}
