package org.ragworthook.core.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The accounts that wait or waited recently, with the slots that they use.
 * <p>
 * Reading the slots of all accounts at every slot that becomes free would make the cost
 * of a request grow with the number of accounts. An account is read when its first
 * request arrives and before it is served, and a few accounts in turn are read at every
 * pass, so that also an account whose slots were freed moves forward.
 *
 * @param <T> the type of the queued item
 */
final class AccountTable<T> {

	/**
	 * Accounts read in turn at every pass. 6,000 accounts are all read within 750 passes,
	 * which at 15,000 passes per second is half of the interval of reports.
	 */
	private static final int READ_IN_TURN = 8;

	/** Accounts that are read in a pass because they are about to be served. */
	private static final int MAX_READ_FIRST = 16;

	/**
	 * Time for which an account is kept after its last request. While it is kept, its
	 * slots count in the sum by which freed slots are divided.
	 */
	private static final long RETENTION_NANOS = 2_000_000_000;

	private final Map<OptionalInt, AccountState<T>> accounts = new LinkedHashMap<>();

	private final List<AccountState<T>> unread = new ArrayList<>();

	private final Set<AccountState<T>> usedInPass = new HashSet<>();

	private double totalSlots;

	private long pass;

	private int readFirst;

	/**
	 * Returns an account that has a request to add.
	 * @param tag the account's tag, or empty for requests without an account
	 * @return the account
	 */
	AccountState<T> forArrival(OptionalInt tag) {
		AccountState<T> account = this.accounts.computeIfAbsent(tag, AccountState::new);
		if (!account.waiting()) {
			this.unread.add(account);
		}
		return account;
	}

	/** Called when no request waits, so that no account has to be read before others. */
	void clearUnread() {
		this.unread.clear();
	}

	/**
	 * Starts a pass or an evaluation: reads accounts that have begun to wait, and some
	 * others in turn.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param shares the slots that accounts use
	 * @return the callers that were expected back and are expected no more
	 */
	int begin(long nowNanos, AccountShares shares) {
		this.pass++;
		this.readFirst = 0;
		for (AccountState<T> account : this.unread) {
			account.usedAt(nowNanos);
			read(account, shares);
		}
		this.unread.clear();
		List<AccountState<T>> kept = new ArrayList<>(READ_IN_TURN);
		int dropped = 0;
		Iterator<AccountState<T>> oldest = this.accounts.values().iterator();
		for (int i = 0; i < READ_IN_TURN && oldest.hasNext(); i++) {
			AccountState<T> account = oldest.next();
			oldest.remove();
			dropped += account.dropReturns(nowNanos);
			if (account.waiting()) {
				account.usedAt(nowNanos);
			}
			if (nowNanos - account.lastUsedNanos() <= RETENTION_NANOS || !account.returns().isEmpty()) {
				kept.add(account);
			}
			else {
				this.totalSlots -= account.slots();
			}
		}
		for (AccountState<T> account : kept) {
			this.accounts.put(account.tag(), account);
			read(account, shares);
		}
		return dropped;
	}

	/**
	 * Reads the slots of an account that is about to be served, if that was not done in
	 * this pass and the pass has not read too many.
	 * @param account the account
	 * @param shares the slots that accounts use
	 * @return whether the slots that it uses have changed
	 */
	boolean readFirst(AccountState<T> account, AccountShares shares) {
		return !account.readIn(this.pass) && this.readFirst++ < MAX_READ_FIRST && read(account, shares);
	}

	/**
	 * Reads the slots of an account, if that was not done in this pass.
	 * @param account the account
	 * @param shares the slots that accounts use
	 * @return whether the slots that it uses have changed
	 */
	boolean read(AccountState<T> account, AccountShares shares) {
		if (account.readIn(this.pass)) {
			return false;
		}
		double change = account.read(shares, this.pass);
		this.totalSlots += change;
		if (change != 0) {
			reindex(account);
		}
		return change != 0;
	}

	void granted(AccountState<T> account) {
		account.granted();
		this.totalSlots++;
		this.usedInPass.add(account);
		reindex(account);
	}

	/**
	 * Counts a request that could not be placed.
	 * @param entry the request
	 */
	void skipped(QueueEntry<T> entry) {
		AccountState<T> account = entry.lane().account();
		entry.lane().skip(entry);
		account.skipped();
		this.usedInPass.add(account);
		reindex(account);
	}

	void endPass() {
		for (AccountState<T> account : this.usedInPass) {
			account.endPass();
			reindex(account);
		}
		this.usedInPass.clear();
	}

	/**
	 * Returns the slots that all accounts use that wait or waited recently.
	 * @return the number of slots
	 */
	double totalSlots() {
		return this.totalSlots;
	}

	static <T> void reindex(AccountState<T> account) {
		for (AccountLane<T> lane : account.lanes()) {
			lane.level().reindex(lane);
		}
	}

}
