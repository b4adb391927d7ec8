package org.ragworthook.gateway.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;

import org.ragworthook.core.admission.AccountShares;

/**
 * Orders batch items by priority for slots while the configuration has client accounts.
 * Answers an account that submits so many items that those of other accounts would wait
 * behind them.
 * <p>
 * Items that can still meet their due time come before late ones, as in
 * {@link ItemOrder}. Within these two groups the next slot goes to the account with the
 * fewest batch slots, counting those given to it earlier in the same order. Between
 * accounts with equally many slots, and within an account, {@link ItemOrder} decides.
 */
final class FairItemOrder {

	private final ItemOrder order;

	FairItemOrder(ItemOrder order) {
		this.order = Objects.requireNonNull(order, "order is null");
	}

	/**
	 * Sorts items that wait by descending priority.
	 * @param runs the items; sorted in place
	 * @param nowMillis the time of day, Unix milliseconds
	 * @param slotsInUse the batch slots of accounts over all processes
	 */
	void sort(List<ItemRun> runs, long nowMillis, AccountShares slotsInUse) {
		this.order.sort(runs, nowMillis);
		int onTime = 0;
		while (onTime < runs.size() && !this.order.deprioritized(runs.get(onTime), nowMillis)) {
			onTime++;
		}
		Map<Integer, AccountItems> accounts = new HashMap<>();
		List<ItemRun> sorted = new ArrayList<>(runs.size());
		deal(runs.subList(0, onTime), accounts, slotsInUse, sorted);
		deal(runs.subList(onTime, runs.size()), accounts, slotsInUse, sorted);
		for (int i = 0; i < sorted.size(); i++) {
			runs.set(i, sorted.get(i));
		}
	}

	/**
	 * Sorts items that run by descending priority: the last one is preempted first.
	 * @param runs the items; sorted in place
	 * @param nowMillis the time of day, Unix milliseconds
	 * @param slotsInUse the batch slots of accounts over all processes, those of the
	 * items included
	 */
	void sortRunning(List<ItemRun> runs, long nowMillis, AccountShares slotsInUse) {
		Map<Integer, Integer> running = new HashMap<>();
		runs.forEach((run) -> running.merge(run.accountTag(), 1, Integer::sum));
		sort(runs, nowMillis, (account) -> slotsInUse.slotsInUse(account) - running.getOrDefault(account, 0));
	}

	private static void deal(List<ItemRun> group, Map<Integer, AccountItems> accounts, AccountShares slotsInUse,
			List<ItemRun> sorted) {
		Map<Integer, AccountItems> waiting = new LinkedHashMap<>();
		for (int i = 0; i < group.size(); i++) {
			int tag = group.get(i).accountTag();
			AccountItems account = accounts.computeIfAbsent(tag, (key) -> new AccountItems(slotsInUse.slotsInUse(key)));
			waiting.putIfAbsent(tag, account);
			account.positions.add(i);
		}
		PriorityQueue<AccountItems> next = new PriorityQueue<>(
				Comparator.<AccountItems>comparingDouble((account) -> account.slots)
					.thenComparingInt((account) -> account.positions.peekFirst()));
		next.addAll(waiting.values());
		while (!next.isEmpty()) {
			AccountItems account = next.remove();
			sorted.add(group.get(account.positions.removeFirst()));
			account.slots++;
			if (!account.positions.isEmpty()) {
				next.add(account);
			}
		}
	}

	/** The items of one account in a group, and the slots that it has by then. */
	private static final class AccountItems {

		private final Deque<Integer> positions = new ArrayDeque<>();

		private double slots;

		AccountItems(double slots) {
			this.slots = slots;
		}

	}

}
