package org.ragworthook.core.admission;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The requests of one account at one priority level, in service order. Its place among
 * the lanes of the level depends on the slots that the account uses and on its first
 * requests; {@link PriorityLevel} keeps the place that was valid at the last call of
 * {@link #moveTo}.
 *
 * @param <T> the type of the queued item
 */
final class AccountLane<T> {

	private final AccountState<T> account;

	private final PriorityLevel<T> level;

	private final TreeSet<QueueEntry<T>> onTime;

	private final TreeSet<QueueEntry<T>> late;

	private final LateTurns lateTurns = new LateTurns();

	private double load;

	private QueueEntry<T> firstOnTime;

	private QueueEntry<T> firstLate;

	private QueueEntry<T> skippedOnTime;

	private QueueEntry<T> skippedLate;

	AccountLane(AccountState<T> account, PriorityLevel<T> level, Comparator<QueueEntry<T>> order) {
		this.account = account;
		this.level = level;
		this.onTime = new TreeSet<>(order);
		this.late = new TreeSet<>(order);
	}

	AccountState<T> account() {
		return this.account;
	}

	PriorityLevel<T> level() {
		return this.level;
	}

	/**
	 * Returns the requests, on time or late.
	 * @param lateOnes whether to return the late ones
	 * @return the requests in service order
	 */
	TreeSet<QueueEntry<T>> entries(boolean lateOnes) {
		return lateOnes ? this.late : this.onTime;
	}

	LateTurns lateTurns() {
		return this.lateTurns;
	}

	boolean isEmpty() {
		return this.onTime.isEmpty() && this.late.isEmpty();
	}

	void add(QueueEntry<T> entry) {
		entries(entry.late()).add(entry);
		this.level.reindex(this);
	}

	void remove(QueueEntry<T> entry) {
		if (entries(entry.late()).remove(entry)) {
			this.level.reindex(this);
		}
	}

	/**
	 * Offers no slots to a request and those before it for the rest of the pass.
	 * @param entry the request, the first one that was offered slots
	 */
	void skip(QueueEntry<T> entry) {
		if (entry.late()) {
			this.skippedLate = entry;
		}
		else {
			this.skippedOnTime = entry;
		}
	}

	void endPass() {
		this.skippedOnTime = null;
		this.skippedLate = null;
	}

	/**
	 * Returns the first request that is offered slots.
	 * @param lateOne whether to return the first late one
	 * @return the request, or null if there is none
	 */
	QueueEntry<T> firstOffered(boolean lateOne) {
		if (this.account.passEnded()) {
			return null;
		}
		QueueEntry<T> skipped = lateOne ? this.skippedLate : this.skippedOnTime;
		TreeSet<QueueEntry<T>> entries = entries(lateOne);
		if (skipped != null) {
			return entries.higher(skipped);
		}
		return entries.isEmpty() ? null : entries.first();
	}

	/**
	 * Takes over the current values that its place in the level depends on.
	 * @param onTimeOne the first request on time, or null
	 * @param lateOne the first late request, or null
	 */
	void moveTo(QueueEntry<T> onTimeOne, QueueEntry<T> lateOne) {
		this.load = this.account.load();
		this.firstOnTime = onTimeOne;
		this.firstLate = lateOne;
	}

	/**
	 * Returns the slots per weight at the last call of {@link #moveTo}.
	 * @return the load
	 */
	double load() {
		return this.load;
	}

	/**
	 * Returns the first request at the last call of {@link #moveTo}.
	 * @param lateOne whether to return the first late one
	 * @return the request, or null if there was none
	 */
	QueueEntry<T> first(boolean lateOne) {
		return lateOne ? this.firstLate : this.firstOnTime;
	}

}
