package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which requests are refused when the slots that become free do not suffice for
 * all requests to start by their targets. Answers an overload that lasts: without it, the
 * callers of an overloading account learn only at the end of their wait that they could
 * have retried later.
 * <p>
 * The service of the queue is forecast, see {@link StartForecast}. A request that would
 * start after its target is refused if its account needs more than its share of the
 * slots, see {@link ShareDivision}. Since the forecast serves the account with the fewest
 * slots first, the requests that do not fit are those of the accounts furthest above
 * their shares.
 *
 * @param <T> the type of the queued item
 */
final class SheddingPolicy<T> {

	/**
	 * Divisor of the queue's size that gives the changes after which it is evaluated
	 * again. An evaluation visits the whole queue, so that each change costs at most 8
	 * visits.
	 */
	private static final int EVALUATIONS_PER_QUEUE = 8;

	/**
	 * Time after which a queue is evaluated again even if it has hardly changed. It is
	 * short against latency targets of 300 ms.
	 */
	private static final long MAX_AGE_NANOS = 20_000_000;

	/**
	 * Slots used at most per request on time: every fourth slot of its level goes to a
	 * late request, and up to three slots of eight to three lower levels.
	 */
	private static final double SLOTS_PER_ON_TIME = 4.0 / 3 * 8 / 5;

	/** Part of an account's slots that go to requests on time while late ones wait. */
	private static final double ON_TIME_PART = 3.0 / 4;

	/** Longest time between two callers of an account that are told to retry. */
	private static final double MAX_GAP_NANOS = 3.6e12;

	private int changes;

	private long evaluatedNanos;

	private boolean evaluated;

	private int expectedReturns;

	void queueChanged() {
		this.changes++;
	}

	/**
	 * Recognises a caller that retries after a refusal: one that cannot retry again, of
	 * an account with callers that are expected back.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param arrival a request that has arrived since the last call
	 */
	void arrived(long nowNanos, QueueEntry<T> arrival) {
		AccountLane<T> lane = arrival.lane();
		if (arrival.request().latestRetryNanos() - nowNanos <= 0 && lane.account().returns().pollFirst() != null) {
			this.expectedReturns--;
			lane.remove(arrival);
			arrival.markReturned();
			lane.add(arrival);
		}
	}

	void dropped(int returns) {
		this.expectedReturns -= returns;
	}

	/**
	 * Returns whether the queue has to be evaluated: not if all requests fit even if the
	 * one with the earliest target were last, and not again before the queue has changed
	 * or some time has passed.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param forecast how soon slots become free
	 * @param waiting the number of all waiting requests
	 * @param onTime the number of those that can start on time
	 * @param earliestTargetNanos the earliest start target of these
	 * @return whether to call {@link #evaluate}
	 */
	boolean due(long nowNanos, SlotForecast forecast, int waiting, int onTime, long earliestTargetNanos) {
		if (!forecast.known()) {
			return false;
		}
		double slots = onTime * SLOTS_PER_ON_TIME + Math.max(0, this.expectedReturns) + 1;
		if (slots / forecast.slotsFreedPerSecond() * StartForecast.NANOS_PER_SECOND <= earliestTargetNanos - nowNanos) {
			return false;
		}
		return !this.evaluated || this.changes * EVALUATIONS_PER_QUEUE >= waiting
				|| nowNanos - this.evaluatedNanos >= MAX_AGE_NANOS;
	}

	/**
	 * Chooses the requests to refuse and reserves slots for their callers' return.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param forecast how soon slots become free, known
	 * @param levels the levels of the queue, the highest first
	 * @param accounts the accounts of the queue
	 * @param shares the slots that accounts use
	 * @return the requests to refuse
	 */
	List<ShedRequest<T>> evaluate(long nowNanos, SlotForecast forecast, List<PriorityLevel<T>> levels,
			AccountTable<T> accounts, AccountShares shares) {
		this.changes = 0;
		this.evaluated = true;
		this.evaluatedNanos = nowNanos;
		StartForecast<T> starts = new StartForecast<>(nowNanos, forecast, claims(nowNanos, levels, accounts, shares),
				Math.max(1, accounts.totalSlots()));
		starts.run();
		List<ShedRequest<T>> shed = new ArrayList<>();
		for (Claim<T> claim : starts.claims()) {
			refuse(claim, nowNanos, starts.nanosPerSlot() * Math.max(1, accounts.totalSlots()), shed);
		}
		return shed;
	}

	private List<List<Claim<T>>> claims(long nowNanos, List<PriorityLevel<T>> levels, AccountTable<T> accounts,
			AccountShares shares) {
		List<List<Claim<T>>> claims = new ArrayList<>();
		for (PriorityLevel<T> level : levels) {
			List<AccountLane<T>> lanes = new ArrayList<>(level.lanes(false));
			level.lanes(true).stream().filter((lane) -> lane.first(false) == null).forEach(lanes::add);
			List<Claim<T>> ofLevel = new ArrayList<>(lanes.size());
			for (AccountLane<T> lane : lanes) {
				accounts.read(lane.account(), shares);
				this.expectedReturns -= lane.account().dropReturns(nowNanos);
				ofLevel.add(new Claim<>(lane));
			}
			claims.add(ofLevel);
		}
		ShareDivision.divide(claims);
		return claims;
	}

	// The callers of an account retry one after another, at the rate at which the
	// account's share of the slots becomes free: behind its requests that are served by
	// their targets, and behind its callers that were refused before.
	private void refuse(Claim<T> claim, long nowNanos, double nanosPerTurn, List<ShedRequest<T>> shed) {
		if (claim.missed().isEmpty()) {
			return;
		}
		AccountState<T> account = claim.lane().account();
		double onTimeShare = claim.hasLate() ? claim.share() * ON_TIME_PART : claim.share();
		long gap = (long) Math.min(nanosPerTurn / onTimeShare, MAX_GAP_NANOS);
		long last = Math.max(nowNanos, claim.lastStartNanos());
		if (!account.returns().isEmpty()) {
			last = Math.max(last, account.returns().peekLast());
		}
		for (Claim.Missed<T> missed : claim.missed()) {
			WaitingRequest<T> request = missed.entry().request();
			if (last + gap <= request.latestRetryNanos()) {
				last += gap;
				account.returns().addLast(last);
				this.expectedReturns++;
				shed.add(new ShedRequest<>(request.item(), Duration.ofNanos(last - nowNanos), claim.share(),
						account.slots(), Duration.ofNanos(missed.startNanos() - nowNanos)));
			}
		}
	}

}
