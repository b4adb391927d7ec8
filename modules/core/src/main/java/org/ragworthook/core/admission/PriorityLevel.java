package org.ragworthook.core.admission;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The lanes of one priority level, ordered by slots in use per weight. Lanes with equal
 * loads are ordered by their first requests.
 *
 * @param <T> the type of the queued item
 */
final class PriorityLevel<T> implements LevelTurns.Level {

	private final int priority;

	private final Comparator<QueueEntry<T>> order;

	private final LevelTurns turns = new LevelTurns();

	private final LateTurns lateTurns = new LateTurns();

	private final TreeSet<AccountLane<T>> onTime;

	private final TreeSet<AccountLane<T>> late;

	private int waiting;

	PriorityLevel(int priority, Comparator<QueueEntry<T>> order) {
		this.priority = priority;
		this.order = order;
		this.onTime = new TreeSet<>(byLoad(order, false));
		this.late = new TreeSet<>(byLoad(order, true));
	}

	private static <T> Comparator<AccountLane<T>> byLoad(Comparator<QueueEntry<T>> order, boolean late) {
		Comparator<AccountLane<T>> byLoad = Comparator.comparingDouble(AccountLane::load);
		return byLoad.thenComparing((lane) -> lane.first(late), order);
	}

	int priority() {
		return this.priority;
	}

	Comparator<QueueEntry<T>> order() {
		return this.order;
	}

	@Override
	public LevelTurns turns() {
		return this.turns;
	}

	@Override
	public boolean hasWaiting() {
		return this.waiting > 0;
	}

	@Override
	public boolean canServe() {
		return !this.onTime.isEmpty() || !this.late.isEmpty();
	}

	/**
	 * Returns the lanes that have requests to offer slots to, on time or late.
	 * @param lateOnes whether to return those with late requests
	 * @return the lanes, the next one first
	 */
	TreeSet<AccountLane<T>> lanes(boolean lateOnes) {
		return lateOnes ? this.late : this.onTime;
	}

	/**
	 * Returns the next request. Every fourth slot of the level goes to a late request,
	 * unless its account uses more slots relative to its weight than the account whose
	 * turn it would be otherwise. An account that overloads the level thus pays for its
	 * late requests itself: every fourth of its own slots.
	 * @return the request
	 */
	QueueEntry<T> next() {
		if (this.onTime.isEmpty()) {
			return this.late.first().first(true);
		}
		AccountLane<T> lane = this.onTime.first();
		if (!this.late.isEmpty() && this.lateTurns.lateDue() && this.late.first().load() <= lane.load()) {
			return this.late.first().first(true);
		}
		boolean ownLate = lane.first(true) != null && lane.lateTurns().lateDue();
		return lane.first(ownLate);
	}

	/**
	 * Counts a slot that a request of this level was given.
	 * @param entry the request
	 */
	void served(QueueEntry<T> entry) {
		this.lateTurns.served(entry.late());
		entry.lane().lateTurns().served(entry.late());
	}

	void countWaiting(int change) {
		this.waiting += change;
	}

	/**
	 * Moves a lane to its place after its requests or the load of its account changed.
	 * @param lane the lane
	 */
	void reindex(AccountLane<T> lane) {
		QueueEntry<T> firstOnTime = lane.firstOffered(false);
		QueueEntry<T> firstLate = lane.firstOffered(true);
		if (firstOnTime == lane.first(false) && firstLate == lane.first(true) && lane.load() == lane.account().load()) {
			return;
		}
		if (lane.first(false) != null) {
			this.onTime.remove(lane);
		}
		if (lane.first(true) != null) {
			this.late.remove(lane);
		}
		lane.moveTo(firstOnTime, firstLate);
		if (firstOnTime != null) {
			this.onTime.add(lane);
		}
		if (firstLate != null) {
			this.late.add(lane);
		}
	}

}
