package org.ragworthook.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;

/**
 * What a {@link FairShareQueue} knows of one account: the slots that it uses, and when
 * callers that were refused are expected back.
 *
 * @param <T> the type of the queued item
 */
final class AccountState<T> {

	/**
	 * Time for which a slot stays reserved for a refused caller beyond the time that it
	 * was told. It covers the time that the refusal takes to reach the caller and the new
	 * request to reach the queue.
	 */
	private static final long RETURN_ALLOWANCE_NANOS = 50_000_000;

	/**
	 * Requests of an account that may fail to be placed before its part of a pass ends.
	 */
	private static final int MAX_SKIPPED = 4;

	private final OptionalInt tag;

	private final List<AccountLane<T>> lanes = new ArrayList<>(1);

	private final Deque<Long> returns = new ArrayDeque<>();

	private int weight = 1;

	private double slots;

	private int grantedInPass;

	private int skippedInPass;

	private long lastReadPass;

	private long lastUsedNanos;

	AccountState(OptionalInt tag) {
		this.tag = tag;
	}

	OptionalInt tag() {
		return this.tag;
	}

	List<AccountLane<T>> lanes() {
		return this.lanes;
	}

	int weight() {
		return this.weight;
	}

	void weight(int newWeight) {
		this.weight = newWeight;
	}

	/**
	 * Returns the slots in use, as last read, with those granted since.
	 * @return the number of slots
	 */
	double slots() {
		return this.slots;
	}

	double load() {
		return this.slots / this.weight;
	}

	boolean waiting() {
		for (AccountLane<T> lane : this.lanes) {
			if (!lane.isEmpty()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Reads the slots in use.
	 * @param shares the slots that accounts use, without those granted in this pass
	 * @param pass the number of the current pass
	 * @return the change of {@link #slots()}
	 */
	double read(AccountShares shares, long pass) {
		double before = this.slots;
		this.slots = Math.max(0, shares.slotsInUse(this.tag.orElse(AccountShares.NO_ACCOUNT))) + this.grantedInPass;
		this.lastReadPass = pass;
		return this.slots - before;
	}

	boolean readIn(long pass) {
		return this.lastReadPass == pass;
	}

	void granted() {
		this.slots++;
		this.grantedInPass++;
	}

	void skipped() {
		this.skippedInPass++;
	}

	/**
	 * Returns whether its requests are offered no more slots in this pass, since those
	 * offered before could not be placed.
	 * @return whether its part of the pass has ended
	 */
	boolean passEnded() {
		return this.skippedInPass >= MAX_SKIPPED;
	}

	void endPass() {
		this.grantedInPass = 0;
		this.skippedInPass = 0;
		this.lanes.forEach(AccountLane::endPass);
	}

	void usedAt(long nowNanos) {
		this.lastUsedNanos = nowNanos;
	}

	long lastUsedNanos() {
		return this.lastUsedNanos;
	}

	/**
	 * Returns when refused callers are expected back.
	 * @return readings of the ticker in nanoseconds, ascending
	 */
	Deque<Long> returns() {
		return this.returns;
	}

	/**
	 * Drops the callers that have not retried in time.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return the number of callers dropped
	 */
	int dropReturns(long nowNanos) {
		int dropped = 0;
		while (!this.returns.isEmpty() && this.returns.peekFirst() + RETURN_ALLOWANCE_NANOS - nowNanos < 0) {
			this.returns.removeFirst();
			dropped++;
		}
		return dropped;
	}

}
