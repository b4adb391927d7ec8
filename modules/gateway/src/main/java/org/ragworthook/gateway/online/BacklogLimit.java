package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.peer.WaitingTokens;
import org.ragworthook.gateway.route.Route;

/**
 * Limits the tokens that an account's batch jobs may have waiting on a route. Used on the
 * event loop.
 * <p>
 * Every entry accepts jobs, and the limit holds for all of them together. The owners of
 * jobs report the waiting tokens with a delay of some tenths of a second, so each entry
 * reports to its peers at once what it accepts, and counts it itself until the owners'
 * reports include it.
 * <p>
 * When capacity is freed at the limit, several entries see it at the same moment, since
 * their callers have been waiting for it: two jobs accepted within 20 ms exceeded a limit
 * of 60,000 tokens by a fifth. Near the limit an entry therefore reserves the tokens,
 * waits until its peers have received the reservation, and checks again. If two entries
 * reserve the same capacity, neither gets it, and their callers retry.
 */
final class BacklogLimit {

	/**
	 * How long an entry counts an accepted job itself. The change reaches the job's owner
	 * through a watch of the store in about 20 ms and is included in the owner's report
	 * after 0.1 s, later while the store is slow.
	 */
	static final Duration RESERVATION_TTL = Duration.ofMillis(1_500);

	/**
	 * Share of the limit above which tokens are reserved before a job is accepted. All
	 * entries together cannot use up the other half within the delay of one report,
	 * unless single jobs are nearly as large as the limit.
	 */
	static final double NEAR_LIMIT_SHARE = 0.5;

	private final Ticker ticker;

	private final Deque<Reservation> reservations = new ArrayDeque<>();

	BacklogLimit(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Decides whether a job fits below the limit.
	 * @param route the job's route, which states the limit
	 * @param account the account that the job belongs to, or empty for none
	 * @param tokens the job's tokens
	 * @param others the waiting tokens that other processes report
	 * @return whether the job fits
	 */
	Verdict decide(Route route, Optional<String> account, long tokens, WaitingTokens others) {
		if (route.maxQueuedTokens() == 0) {
			return Verdict.FITS;
		}
		long waiting = others.tokens() + reservedTokens().getOrDefault(route.backlogKey(account), 0L);
		if (waiting + tokens > route.maxQueuedTokens()) {
			return Verdict.OVER_LIMIT;
		}
		if (!others.complete()) {
			return Verdict.INCOMPLETE;
		}
		return (waiting + tokens > route.maxQueuedTokens() * NEAR_LIMIT_SHARE) ? Verdict.NEAR_LIMIT : Verdict.FITS;
	}

	/**
	 * Checks the limit again after a reservation, once this entry and its peers have
	 * received each other's reservations.
	 * @param route the route
	 * @param account the account that the job belongs to, or empty for none
	 * @param others the waiting tokens that other processes report now
	 * @return whether all waiting and reserved tokens are within the limit
	 */
	boolean withinLimit(Route route, Optional<String> account, WaitingTokens others) {
		return others.tokens() + reservedTokens().getOrDefault(route.backlogKey(account), 0L) <= route
			.maxQueuedTokens();
	}

	/**
	 * Reserves the tokens of a job that is about to be accepted.
	 * @param route the route
	 * @param account the account that the job belongs to, or empty for none
	 * @param tokens the job's tokens
	 * @return the reservation, which expires after {@link #RESERVATION_TTL}
	 */
	Reservation reserve(Route route, Optional<String> account, long tokens) {
		Reservation reservation = new Reservation(this.ticker.nanos(), route.backlogKey(account), tokens);
		this.reservations.addLast(reservation);
		return reservation;
	}

	/**
	 * Cancels a reservation, since its job is rejected.
	 * @param reservation the reservation
	 */
	void cancel(Reservation reservation) {
		this.reservations.removeIf((reserved) -> reserved == reservation);
	}

	/**
	 * Returns the tokens of the jobs that this entry has accepted within the last
	 * {@link #RESERVATION_TTL}.
	 * @return tokens by {@linkplain Route#backlogKey backlog key}
	 */
	Map<Integer, Long> reservedTokens() {
		long since = this.ticker.nanos() - RESERVATION_TTL.toNanos();
		while (!this.reservations.isEmpty() && this.reservations.peekFirst().nanos() - since < 0) {
			this.reservations.removeFirst();
		}
		Map<Integer, Long> tokens = new HashMap<>();
		this.reservations.forEach((reserved) -> tokens.merge(reserved.key(), reserved.tokens(), Long::sum));
		return tokens;
	}

	/**
	 * Whether a job fits below the limit.
	 */
	enum Verdict {

		/** The job fits. */
		FITS,

		/** The job fits unless other entries are accepting jobs at this moment. */
		NEAR_LIMIT,

		/** The job does not fit. */
		OVER_LIMIT,

		/** The job fits by the reports that are known, but some are missing. */
		INCOMPLETE

	}

	/**
	 * Tokens of a job that is accepted or about to be.
	 *
	 * @param nanos when they were reserved, a reading of the ticker
	 * @param key the backlog key of the route and the account
	 * @param tokens the number of tokens
	 */
	record Reservation(long nanos, int key, long tokens) {
	}

}
