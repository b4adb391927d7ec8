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
 * Decides whether a batch job fits below what its route lets an account have waiting.
 * Used on the event loop.
 * <p>
 * Every entry accepts jobs, and all of them together must stay below the limit. What
 * waits is known from the owners of jobs, some tenths of a second late; so each entry
 * tells its peers at once what it accepts, and counts it until the owners surely do. When
 * room appears at the limit, several entries see it at the same moment, as their callers
 * have been waiting for it: two jobs accepted within 20 ms passed a limit of 60,000
 * tokens by a fifth. So near the limit an entry reserves the room, lets its peers hear
 * that, and looks again; of two that reserve the same room neither gets it, and their
 * callers come again.
 */
final class JobQuota {

	/**
	 * How long an entry counts a job itself: the way to its owner through the store's
	 * news of changes, some 20 ms, and back in a report, 0.1 s; more while the store is
	 * slow.
	 */
	static final Duration RECENT = Duration.ofMillis(1_500);

	/**
	 * The share of the limit from which on room is reserved before it is taken: the other
	 * half cannot be taken by all entries within the way of one report, unless single
	 * jobs are nearly as large as the limit.
	 */
	static final double NEAR = 0.5;

	private final Ticker ticker;

	private final Deque<Reservation> recent = new ArrayDeque<>();

	JobQuota(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Decides.
	 * @param route the route
	 * @param account whose job it is
	 * @param tokens the job's tokens
	 * @param others what the other processes know
	 * @return whether it fits
	 */
	Verdict decide(Route route, Optional<String> account, long tokens, WaitingTokens others) {
		if (route.maxQueuedTokens() == 0) {
			return Verdict.FITS;
		}
		long waiting = others.tokens() + backlog().getOrDefault(route.backlogKey(account), 0L);
		if (waiting + tokens > route.maxQueuedTokens()) {
			return Verdict.TOO_MUCH;
		}
		if (!others.complete()) {
			return Verdict.UNSURE;
		}
		return (waiting + tokens > route.maxQueuedTokens() * NEAR) ? Verdict.NEAR_LIMIT : Verdict.FITS;
	}

	/**
	 * Looks again once the peers have heard of a reservation, and this entry of theirs.
	 * @param route the route
	 * @param account whose job it is
	 * @param others what the other processes know now
	 * @return whether all that is reserved has room
	 */
	boolean holds(Route route, Optional<String> account, WaitingTokens others) {
		return others.tokens() + backlog().getOrDefault(route.backlogKey(account), 0L) <= route.maxQueuedTokens();
	}

	/**
	 * Counts a job that is about to be accepted.
	 * @param route the route
	 * @param account whose job it is
	 * @param tokens the job's tokens
	 * @return what is counted
	 */
	Reservation reserve(Route route, Optional<String> account, long tokens) {
		Reservation reservation = new Reservation(this.ticker.nanos(), route.backlogKey(account), tokens);
		this.recent.addLast(reservation);
		return reservation;
	}

	/**
	 * Counts a job no longer, since it is refused.
	 * @param reservation what was counted
	 */
	void withdraw(Reservation reservation) {
		this.recent.removeIf((counted) -> counted == reservation);
	}

	/**
	 * Returns what this entry has accepted a moment ago.
	 * @return tokens by the key of route and account
	 */
	Map<Integer, Long> backlog() {
		long since = this.ticker.nanos() - RECENT.toNanos();
		while (!this.recent.isEmpty() && this.recent.peekFirst().nanos() - since < 0) {
			this.recent.removeFirst();
		}
		Map<Integer, Long> tokens = new HashMap<>();
		this.recent.forEach((counted) -> tokens.merge(counted.key(), counted.tokens(), Long::sum));
		return tokens;
	}

	/**
	 * Whether a job fits.
	 */
	enum Verdict {

		/** There is room. */
		FITS,

		/** There is room that other entries may be taking at this moment. */
		NEAR_LIMIT,

		/** There is no room. */
		TOO_MUCH,

		/** There seems to be room, but not all that waits is known. */
		UNSURE

	}

	/**
	 * Room that is taken, or about to be.
	 *
	 * @param nanos since when, the ticker's reading
	 * @param key the key of route and account
	 * @param tokens how much
	 */
	record Reservation(long nanos, int key, long tokens) {
	}

}
