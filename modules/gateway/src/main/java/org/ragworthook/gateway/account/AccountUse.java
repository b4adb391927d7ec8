package org.ragworthook.gateway.account;

import java.util.function.BiConsumer;

/**
 * Counts one online request under its account while it waits for a slot or has one. Not
 * thread-safe: used on the event loop.
 */
public final class AccountUse {

	private static final AccountCounts WAITING = new AccountCounts(0, 0, 1);

	private static final AccountCounts RUNNING = new AccountCounts(1, 0, 0);

	private final int tag;

	private final BiConsumer<Integer, AccountCounts> change;

	private AccountCounts counted = AccountCounts.NONE;

	/**
	 * Creates the use of a request that is not counted yet.
	 * @param tag the account's tag
	 * @param change adds counts to those of an account
	 */
	AccountUse(int tag, BiConsumer<Integer, AccountCounts> change) {
		this.tag = tag;
		this.change = change;
	}

	/** Counts the request as waiting for a slot. */
	public void waiting() {
		count(WAITING);
	}

	/** Counts the request as sent to an upstream. */
	public void running() {
		count(RUNNING);
	}

	/** Counts the request no longer. */
	public void none() {
		count(AccountCounts.NONE);
	}

	private void count(AccountCounts now) {
		if (!now.equals(this.counted)) {
			this.change.accept(this.tag, now.minus(this.counted));
			this.counted = now;
		}
	}

}
