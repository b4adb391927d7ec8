package org.ragworthook.gateway.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.ragworthook.core.admission.AccountShares;

/**
 * The slots in use as they were before a pass over a queue. The queue itself counts the
 * slots that it grants in the pass, and they show in the loads at once, so without this
 * class they would be counted twice. Not thread-safe.
 */
public final class PassShares implements AccountShares {

	private final AccountShares current;

	private final Map<Integer, Double> added = new HashMap<>();

	private PassShares(AccountShares current) {
		this.current = Objects.requireNonNull(current, "current is null");
	}

	/**
	 * Returns the slots in use before a pass that begins now.
	 * @param current the slots in use, which change during the pass
	 * @return the shares
	 */
	public static PassShares of(AccountShares current) {
		return new PassShares(current);
	}

	/**
	 * Places a request of the pass.
	 * @param account the tag of its account
	 * @param place places the request and returns whether a slot was free
	 * @return whether a slot was free
	 */
	public boolean place(int account, BooleanSupplier place) {
		double before = this.current.slotsInUse(account);
		boolean placed = place.getAsBoolean();
		double change = this.current.slotsInUse(account) - before;
		if (change != 0) {
			this.added.merge(account, change, Double::sum);
		}
		return placed;
	}

	@Override
	public double slotsInUse(int account) {
		return this.current.slotsInUse(account) - this.added.getOrDefault(account, 0.0);
	}

}
