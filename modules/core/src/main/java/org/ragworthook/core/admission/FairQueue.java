package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;

import org.ragworthook.core.time.Ticker;

/**
 * Requests that wait for room, served in turn by account: each account gets a share by
 * its weight, and within an account the most urgent goes first. Confined to one thread,
 * but for {@link #requestEnded()}.
 * <p>
 * The queue is bounded. If it is full, the least urgent of those accounts is shed that
 * have at least as much waiting, for their weight, as the newcomer's, so that no account
 * can push others out by asking for more.
 *
 * @param <T> the type of what waits
 */
public final class FairQueue<T> {

	private final Ticker ticker;

	private final int capacity;

	private final DrainRate drain;

	private final Map<String, Account<T>> accounts = new HashMap<>();

	private final TreeSet<Account<T>> turns = new TreeSet<>(
			Comparator.comparingDouble((Account<T> account) -> account.turn).thenComparing((account) -> account.name));

	private double served;

	private long order;

	private int size;

	private FairQueue(Ticker ticker, int capacity) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.capacity = capacity;
		this.drain = new DrainRate(ticker);
	}

	/**
	 * Returns an empty queue.
	 * @param ticker the time
	 * @param capacity how many may wait
	 * @param <T> the type of what waits
	 * @return a new queue
	 */
	public static <T> FairQueue<T> of(Ticker ticker, int capacity) {
		return new FairQueue<>(ticker, capacity);
	}

	/**
	 * Asks for a place.
	 * @param ticket what wants to wait
	 * @return whether it waits, and who had to go for it
	 */
	public EnqueueResult<T> offer(QueuedRequest<T> ticket) {
		Objects.requireNonNull(ticket, "ticket is null");
		Account<T> account = this.accounts.get(ticket.account());
		int own = (account != null) ? account.waiting.size() : 0;
		Duration wait = expectedWait(own, ticket.weight());
		// A request that cannot be in time is refused while its caller can still go
		// elsewhere; letting it wait would also hold up those that can be in time.
		if (ticket.deadlineNanos() != Offer.NO_DEADLINE && this.drain.known()
				&& ticket.deadlineNanos() - this.ticker.nanos() < wait.toNanos() && this.size > 0) {
			return new EnqueueResult.Refused<>(EnqueueResult.Reason.DEADLINE_UNREACHABLE, wait);
		}
		Optional<QueuedRequest<T>> shed = Optional.empty();
		if (this.size >= this.capacity) {
			Optional<Waiting<T>> victim = victim(ticket, own);
			if (victim.isEmpty()) {
				return new EnqueueResult.Refused<>(EnqueueResult.Reason.FULL, wait);
			}
			remove(victim.get());
			shed = Optional.of(victim.get().ticket());
		}
		add(ticket);
		return new EnqueueResult.Queued<>(shed, retryAfter());
	}

	private void add(QueuedRequest<T> ticket) {
		Account<T> account = this.accounts.computeIfAbsent(ticket.account(), (name) -> {
			Account<T> fresh = new Account<>(name);
			fresh.turn = this.served;
			this.turns.add(fresh);
			return fresh;
		});
		account.weight = ticket.weight();
		account.waiting.add(new Waiting<>(ticket, this.order++));
		this.size++;
	}

	private Optional<Waiting<T>> victim(QueuedRequest<T> newcomer, int own) {
		double ownShare = (own + 1) / (double) newcomer.weight();
		Optional<Waiting<T>> victim = Optional.empty();
		for (Account<T> account : this.accounts.values()) {
			Waiting<T> last = account.waiting.last();
			boolean eligible = account.share() >= ownShare || account.name.equals(newcomer.account());
			if (eligible && (victim.isEmpty() || last.compareTo(victim.get()) > 0)) {
				victim = Optional.of(last);
			}
		}
		return victim.filter((waiting) -> yields(waiting.ticket(), newcomer, ownShare));
	}

	// One of equal urgency goes only if its account has more waiting.
	private boolean yields(QueuedRequest<T> waiting, QueuedRequest<T> newcomer, double ownShare) {
		if (waiting.deadlineNanos() != newcomer.deadlineNanos()) {
			return waiting.deadlineNanos() > newcomer.deadlineNanos();
		}
		return this.accounts.get(waiting.account()).share() > ownShare;
	}

	/**
	 * Takes out the request whose turn it is.
	 * @return what waited, or empty if nothing waits
	 */
	public Optional<QueuedRequest<T>> poll() {
		if (this.turns.isEmpty()) {
			return Optional.empty();
		}
		Account<T> account = this.turns.pollFirst();
		Waiting<T> first = account.waiting.pollFirst();
		this.served = account.turn;
		account.turn += 1.0 / account.weight;
		this.size--;
		if (account.waiting.isEmpty()) {
			this.accounts.remove(account.name);
		}
		else {
			this.turns.add(account);
		}
		return Optional.of(first.ticket());
	}

	/**
	 * Learns that a request has ended, whether or not it had to wait. The rate at which
	 * they end tells how long others will wait. May be called by any thread.
	 */
	public void requestEnded() {
		this.drain.ended();
	}

	/**
	 * Takes a request out that nobody waits for any longer.
	 * @param item what waited
	 * @return whether it was there
	 */
	public boolean withdraw(T item) {
		for (Account<T> account : this.accounts.values()) {
			for (Waiting<T> waiting : account.waiting) {
				if (waiting.ticket().item().equals(item)) {
					remove(waiting);
					return true;
				}
			}
		}
		return false;
	}

	/**
	 * Takes out the requests whose deadline has passed.
	 * @return what waited too long
	 */
	public List<QueuedRequest<T>> removeExpired() {
		long now = this.ticker.nanos();
		List<Waiting<T>> late = new ArrayList<>();
		for (Account<T> account : this.accounts.values()) {
			for (Waiting<T> waiting : account.waiting) {
				long deadline = waiting.ticket().deadlineNanos();
				if (deadline == Offer.NO_DEADLINE || deadline - now > 0) {
					break;
				}
				late.add(waiting);
			}
		}
		late.forEach(this::remove);
		return late.stream().map(Waiting::ticket).toList();
	}

	private void remove(Waiting<T> waiting) {
		Account<T> account = this.accounts.get(waiting.ticket().account());
		account.waiting.remove(waiting);
		this.size--;
		if (account.waiting.isEmpty()) {
			this.accounts.remove(account.name);
			this.turns.remove(account);
		}
	}

	/**
	 * Returns how many requests wait.
	 * @return the size
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns after which time a request sent again is likely to find room: as long as
	 * all that waits now takes at the rate at which requests have lately ended.
	 * @return the time, from 50 ms to a minute; a second if too few have ended lately
	 */
	public Duration retryAfter() {
		return this.drain.time(this.size);
	}

	// The account's own requests go first, and others take turns with them by weight.
	private Duration expectedWait(int own, int weight) {
		double turns = (own + 1) / (double) weight;
		double before = 0;
		for (Account<T> account : this.accounts.values()) {
			before += Math.min(account.waiting.size(), turns * account.weight);
		}
		return this.drain.time((int) Math.ceil(before));
	}

	private static final class Account<T> {

		private final String name;

		private final TreeSet<Waiting<T>> waiting = new TreeSet<>();

		private int weight;

		private double turn;

		private Account(String name) {
			this.name = name;
		}

		private double share() {
			return this.waiting.size() / (double) this.weight;
		}

	}

	private record Waiting<T>(QueuedRequest<T> ticket, long order) implements Comparable<Waiting<T>> {

		@Override
		public int compareTo(Waiting<T> other) {
			int byDeadline = Long.compare(this.ticket.deadlineNanos(), other.ticket.deadlineNanos());
			return (byDeadline != 0) ? byDeadline : Long.compare(this.order, other.order);
		}

	}

}
