package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

import org.ragworthook.core.admission.AccountShares;
import org.ragworthook.core.time.Ticker;

/**
 * The requests and items of client accounts over all processes, by which slots are shared
 * among the accounts. Answers a load in which some accounts send several times their
 * usual rate, through a few entries or through all of them: what an account has running
 * counts wherever it was sent. Not thread-safe: used on the event loop.
 * <p>
 * Requests of this process are counted exactly, those of its peers from reports that are
 * up to 0.2 s old, and slots that this process has granted as dispatcher until a report
 * includes them. Online requests and batch items are counted separately: items only fill
 * slots that online requests leave free and yield them at once, so an account that uses
 * such slots must not be served later for it. Active only while the configuration has
 * accounts; otherwise nothing is counted.
 */
public final class AccountLoads implements AccountShares {

	/** Accounts that a report names; it has a sum for the others. */
	public static final int MAX_REPORTED = 16;

	private final Supplier<Accounts> accounts;

	/** Orders accounts with equal counts; differs between processes. */
	private final int salt;

	private final Map<Integer, AccountCounts> own = new HashMap<>();

	private final Map<Integer, Integer> granted = new HashMap<>();

	private final Map<Integer, Long> refused = new HashMap<>();

	private final PeerAccountLoads peers;

	private Supplier<Map<Integer, AccountCounts>> items = Map::of;

	private AccountLoads(Ticker ticker, Supplier<Accounts> accounts, String instance) {
		this.peers = new PeerAccountLoads(ticker);
		this.accounts = Objects.requireNonNull(accounts, "accounts is null");
		this.salt = instance.hashCode();
	}

	/**
	 * Returns loads without requests.
	 * @param ticker the monotonic clock
	 * @param accounts returns the accounts of the active configuration
	 * @param instance the name of this process
	 * @return new loads
	 */
	public static AccountLoads of(Ticker ticker, Supplier<Accounts> accounts, String instance) {
		return new AccountLoads(ticker, accounts, instance);
	}

	/**
	 * Sets the supplier of the batch items of this process.
	 * @param counts returns the items that run and wait, by account tag
	 */
	public void items(Supplier<Map<Integer, AccountCounts>> counts) {
		this.items = Objects.requireNonNull(counts, "counts is null");
	}

	/**
	 * Returns whether slots are shared among accounts.
	 * @return whether the active configuration has any account
	 */
	public boolean active() {
		return this.accounts.get().keyRequired();
	}

	/**
	 * Returns the counter of one online request of this process.
	 * @param terms the terms of the request
	 * @return the counter, which counts nothing yet
	 */
	public AccountUse use(ShareTerms terms) {
		return new AccountUse(terms.tag(), terms.shared() ? this::add : (tag, change) -> {
		});
	}

	private void add(int tag, AccountCounts change) {
		this.own.merge(tag, change, (before, added) -> {
			AccountCounts sum = before.plus(added);
			return sum.equals(AccountCounts.NONE) ? null : sum;
		});
	}

	/**
	 * Counts slots that this process has granted to requests of other processes and that
	 * their reports do not include yet.
	 * @param tag the account's tag
	 * @param change the number of slots, negative once reports include them
	 */
	public void addGranted(int tag, int change) {
		this.granted.merge(tag, change, (before, added) -> (before + added == 0) ? null : before + added);
	}

	/**
	 * Counts a request that this process has refused because of its account's share.
	 * @param tag the account's tag
	 */
	public void recordRefused(int tag) {
		this.refused.merge(tag, 1L, Long::sum);
	}

	/**
	 * Replaces the counts of a peer unless a newer report of it was received before.
	 * @param peer the peer's name
	 * @param startedMillis when the peer's run started, in milliseconds of Unix time
	 * @param sequence the number of the report, which grows within a run
	 * @param counts the counts by account tag
	 */
	public void applyPeerReport(String peer, long startedMillis, long sequence, Map<Integer, AccountCounts> counts) {
		this.peers.replace(peer, startedMillis, sequence, counts);
	}

	/** {@inheritDoc} Only slots of online requests count. */
	@Override
	public double slotsInUse(int account) {
		this.peers.expire();
		return this.own.getOrDefault(account, AccountCounts.NONE).online() + this.peers.total(account).online()
				+ this.granted.getOrDefault(account, 0);
	}

	/**
	 * Returns the slots that batch items use now.
	 * @return the shares, in which the items of this process do not change any more
	 */
	public AccountShares batchSlots() {
		this.peers.expire();
		Map<Integer, AccountCounts> here = this.items.get();
		return (account) -> here.getOrDefault(account, AccountCounts.NONE).batch() + this.peers.total(account).batch();
	}

	/**
	 * Returns the counts of this process.
	 * @return the counts by account tag, of the accounts with any request or item
	 */
	public Map<Integer, AccountCounts> ownCounts() {
		Map<Integer, AccountCounts> counts = new HashMap<>(this.own);
		this.items.get().forEach((tag, here) -> counts.merge(tag, here, AccountCounts::plus));
		counts.values().removeIf(AccountCounts.NONE::equals);
		return counts;
	}

	/**
	 * Returns the accounts of this process in the order in which reports name them, those
	 * with the most requests and items first. Among equal ones the order differs between
	 * processes, so that an account with few requests at each of many processes is named
	 * by as many of them as any other such account.
	 * @return the counts by account tag
	 */
	public List<Map.Entry<Integer, AccountCounts>> ownCountsLargestFirst() {
		return ownCounts().entrySet()
			.stream()
			.sorted(Comparator.<Map.Entry<Integer, AccountCounts>>comparingInt((entry) -> -entry.getValue().total())
				.thenComparingInt((entry) -> Integer.hashCode((entry.getKey() ^ this.salt) * 0x9E3779B1)))
			.toList();
	}

	/**
	 * Returns the counts over all processes, slots that were granted included.
	 * @return the counts by account tag
	 */
	Map<Integer, AccountCounts> allCounts() {
		this.peers.expire();
		Map<Integer, AccountCounts> counts = ownCounts();
		this.peers.totals().forEach((tag, total) -> counts.merge(tag, total, AccountCounts::plus));
		this.granted.forEach((tag, slots) -> counts.merge(tag, new AccountCounts(slots, 0, 0), AccountCounts::plus));
		return counts;
	}

	/**
	 * Returns the accounts that have any request or item anywhere, or were refused here.
	 * @return the tags
	 */
	Set<Integer> tags() {
		Set<Integer> tags = new HashSet<>(allCounts().keySet());
		tags.addAll(this.refused.keySet());
		return tags;
	}

	/**
	 * Returns the requests of an account that this process has refused since its start.
	 * @param tag the account's tag
	 * @return the number
	 */
	long refused(int tag) {
		return this.refused.getOrDefault(tag, 0L);
	}

	/**
	 * Returns the age of the oldest report that counts.
	 * @return the age; 0 if no report does
	 */
	public Duration oldestReportAge() {
		this.peers.expire();
		return this.peers.oldestReportAge();
	}

	/**
	 * Returns the name of an account for logs and metrics.
	 * @param tag the account's tag
	 * @return the name, {@code -} for requests without an account, or the tag in
	 * hexadecimal digits if the active configuration has no such account
	 */
	public String name(int tag) {
		return this.accounts.get()
			.byTag(tag)
			.map(ClientAccount::name)
			.orElseGet(() -> (tag == NO_ACCOUNT) ? "-" : Integer.toHexString(tag));
	}

}
