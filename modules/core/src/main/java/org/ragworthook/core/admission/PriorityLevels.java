package org.ragworthook.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The priority levels of a {@link FairShareQueue}, and which request of them is next.
 *
 * @param <T> the type of the queued item
 */
final class PriorityLevels<T> {

	private final ServiceOrder order;

	private final Comparator<QueueEntry<T>> comparator;

	private final List<PriorityLevel<T>> levels = new ArrayList<>();

	private final LateTurns turnsWithoutAccounts = new LateTurns();

	PriorityLevels(ServiceOrder order) {
		this.order = order;
		this.comparator = order.comparator();
	}

	/**
	 * Returns the levels that have been used.
	 * @return the levels, the highest first
	 */
	List<PriorityLevel<T>> all() {
		return this.levels;
	}

	/**
	 * Returns the lane of an account at a level, a new one if there is none.
	 * @param account the account
	 * @param priority the level's priority
	 * @return the lane
	 */
	AccountLane<T> lane(AccountState<T> account, int priority) {
		for (AccountLane<T> lane : account.lanes()) {
			if (lane.level().priority() == priority) {
				return lane;
			}
		}
		AccountLane<T> lane = new AccountLane<>(account, level(priority), this.comparator);
		account.lanes().add(lane);
		account.lanes().sort(Comparator.comparingInt((other) -> other.level().priority()));
		return lane;
	}

	private PriorityLevel<T> level(int priority) {
		for (PriorityLevel<T> level : this.levels) {
			if (level.priority() == priority) {
				return level;
			}
		}
		PriorityLevel<T> level = new PriorityLevel<>(priority, this.comparator);
		this.levels.add(level);
		this.levels.sort(Comparator.comparingInt(PriorityLevel::priority));
		return level;
	}

	/**
	 * Returns the next request, of the account with the fewest slots.
	 * @param accounts the accounts of the requests
	 * @param shares the slots that accounts use
	 * @return the request, or empty if there is none to offer a slot to
	 */
	Optional<QueueEntry<T>> next(AccountTable<T> accounts, AccountShares shares) {
		return LevelTurns.choose(this.levels).map((level) -> {
			QueueEntry<T> entry = level.next();
			while (accounts.readFirst(entry.lane().account(), shares)) {
				entry = level.next();
			}
			return entry;
		});
	}

	/**
	 * Returns the next request while none has an account: by the service order over all
	 * levels; if that is by target, every fourth slot goes to a late request.
	 * @return the request, or empty if there is none to offer a slot to
	 */
	Optional<QueueEntry<T>> nextWithoutAccounts() {
		Optional<QueueEntry<T>> late = first(true);
		Optional<QueueEntry<T>> onTime = first(false);
		if (late.isEmpty() || onTime.isEmpty()) {
			return late.or(() -> onTime);
		}
		boolean lateFirst = (this.order == ServiceOrder.ARRIVAL) ? this.comparator.compare(late.get(), onTime.get()) < 0
				: this.turnsWithoutAccounts.lateDue();
		return lateFirst ? late : onTime;
	}

	private Optional<QueueEntry<T>> first(boolean late) {
		return this.levels.stream()
			.filter((level) -> !level.lanes(late).isEmpty())
			.map((level) -> level.lanes(late).first().first(late))
			.min(this.comparator);
	}

	/**
	 * Counts a slot that a request was given, while requests have accounts.
	 * @param entry the request
	 */
	void served(QueueEntry<T> entry) {
		placed();
		entry.lane().level().served(entry);
		LevelTurns.count(this.levels, entry.lane().level());
	}

	/**
	 * Counts a slot that a request was given, while no request has an account.
	 * @param entry the request
	 */
	void servedWithoutAccounts(QueueEntry<T> entry) {
		placed();
		this.turnsWithoutAccounts.served(entry.late());
	}

	private void placed() {
		this.levels.forEach((level) -> level.turns().placed());
	}

	/**
	 * Counts a request that could not be placed.
	 * @param entry the request
	 */
	void skipped(QueueEntry<T> entry) {
		entry.lane().level().turns().skipped();
	}

	/**
	 * Returns whether no slot is assumed to be free, since requests of a level could not
	 * be placed.
	 * @return whether the pass ends
	 */
	boolean passEnded() {
		for (PriorityLevel<T> level : this.levels) {
			if (level.turns().passEnded()) {
				return true;
			}
		}
		return false;
	}

	void endPass() {
		this.levels.forEach((level) -> level.turns().endPass());
	}

}
