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
 * Bounded queue of requests with weighted fair queueing across accounts: each account is
 * served in proportion to its weight, and within an account the earliest deadline goes
 * first. Not thread-safe, except for {@link #requestEnded()}.
 * <p>
 * If the queue is full, an arrival may displace a waiting request: the one with the
 * latest deadline among the requests of its own account and of accounts whose backlog,
 * relative to their weight, is at least as large. That request is shed if its deadline is
 * later than the arrival's, or equal with a larger backlog of its account. So no account
 * can crowd out others by sending more.
 *
 * @param <T> the type of the queued item
 */
public final class FairQueue<T> {

	private final Ticker ticker;

	private final int capacity;

	private final CompletionRate completions;

	private final Map<String, Account<T>> accounts = new HashMap<>();

	private final TreeSet<Account<T>> byVirtualTime = new TreeSet<>(
			Comparator.comparingDouble((Account<T> account) -> account.virtualTime)
				.thenComparing((account) -> account.name));

	private double virtualTime;

	private long nextSequence;

	private int size;

	private FairQueue(Ticker ticker, int capacity) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.capacity = capacity;
		this.completions = new CompletionRate(ticker);
	}

	/**
	 * Returns an empty queue.
	 * @param ticker the monotonic clock
	 * @param capacity the maximum number of waiting requests
	 * @param <T> the type of the queued item
	 * @return a new queue
	 */
	public static <T> FairQueue<T> of(Ticker ticker, int capacity) {
		return new FairQueue<>(ticker, capacity);
	}

	/**
	 * Queues a request, or refuses it if the queue is full or the request cannot meet its
	 * deadline.
	 * @param request the request
	 * @return whether the request was queued, and which request was shed for it
	 */
	public EnqueueResult<T> offer(QueuedRequest<T> request) {
		Objects.requireNonNull(request, "request is null");
		Account<T> account = this.accounts.get(request.account());
		int ownWaiting = (account != null) ? account.waiting.size() : 0;
		Duration wait = expectedWait(ownWaiting, request.weight());
		// Refuses a request that cannot meet its deadline while its caller can still go
		// elsewhere; queued, it would also delay requests that can.
		if (request.deadlineNanos() != Offer.NO_DEADLINE && this.completions.known()
				&& request.deadlineNanos() - this.ticker.nanos() < wait.toNanos() && this.size > 0) {
			return new EnqueueResult.Refused<>(EnqueueResult.Reason.DEADLINE_UNREACHABLE, wait);
		}
		Optional<QueuedRequest<T>> shed = Optional.empty();
		if (this.size >= this.capacity) {
			Optional<Waiting<T>> victim = victim(request, ownWaiting);
			if (victim.isEmpty()) {
				return new EnqueueResult.Refused<>(EnqueueResult.Reason.FULL, wait);
			}
			remove(victim.get());
			shed = Optional.of(victim.get().request());
		}
		add(request);
		return new EnqueueResult.Queued<>(shed, retryAfter());
	}

	private void add(QueuedRequest<T> request) {
		Account<T> account = this.accounts.computeIfAbsent(request.account(), (name) -> {
			Account<T> fresh = new Account<>(name);
			fresh.virtualTime = this.virtualTime;
			this.byVirtualTime.add(fresh);
			return fresh;
		});
		account.weight = request.weight();
		account.waiting.add(new Waiting<>(request, this.nextSequence++));
		this.size++;
	}

	private Optional<Waiting<T>> victim(QueuedRequest<T> arrival, int ownWaiting) {
		double arrivalBacklog = (ownWaiting + 1) / (double) arrival.weight();
		Optional<Waiting<T>> victim = Optional.empty();
		for (Account<T> account : this.accounts.values()) {
			Waiting<T> last = account.waiting.last();
			boolean eligible = account.backlog() >= arrivalBacklog || account.name.equals(arrival.account());
			if (eligible && (victim.isEmpty() || last.compareTo(victim.get()) > 0)) {
				victim = Optional.of(last);
			}
		}
		return victim.filter((waiting) -> yields(waiting.request(), arrival, arrivalBacklog));
	}

	// With equal deadlines, a request is shed only if its account has the larger
	// backlog.
	private boolean yields(QueuedRequest<T> waiting, QueuedRequest<T> arrival, double arrivalBacklog) {
		if (waiting.deadlineNanos() != arrival.deadlineNanos()) {
			return waiting.deadlineNanos() > arrival.deadlineNanos();
		}
		return this.accounts.get(waiting.account()).backlog() > arrivalBacklog;
	}

	/**
	 * Removes and returns the next request.
	 * @return the request, or empty if the queue is empty
	 */
	public Optional<QueuedRequest<T>> poll() {
		if (this.byVirtualTime.isEmpty()) {
			return Optional.empty();
		}
		Account<T> account = this.byVirtualTime.pollFirst();
		Waiting<T> first = account.waiting.pollFirst();
		this.virtualTime = account.virtualTime;
		account.virtualTime += 1.0 / account.weight;
		this.size--;
		if (account.waiting.isEmpty()) {
			this.accounts.remove(account.name);
		}
		else {
			this.byVirtualTime.add(account);
		}
		return Optional.of(first.request());
	}

	/**
	 * Called when a request has ended, whether or not it was queued. The rate of these
	 * calls is the basis of the estimated waiting times. Thread-safe.
	 */
	public void requestEnded() {
		this.completions.recordEnd();
	}

	/**
	 * Removes a request whose caller has given up.
	 * @param item the queued item
	 * @return whether it was in the queue
	 */
	public boolean withdraw(T item) {
		for (Account<T> account : this.accounts.values()) {
			for (Waiting<T> waiting : account.waiting) {
				if (waiting.request().item().equals(item)) {
					remove(waiting);
					return true;
				}
			}
		}
		return false;
	}

	/**
	 * Removes the requests whose deadline has passed.
	 * @return the removed requests
	 */
	public List<QueuedRequest<T>> removeExpired() {
		long now = this.ticker.nanos();
		List<Waiting<T>> expired = new ArrayList<>();
		for (Account<T> account : this.accounts.values()) {
			for (Waiting<T> waiting : account.waiting) {
				long deadline = waiting.request().deadlineNanos();
				if (deadline == Offer.NO_DEADLINE || deadline - now > 0) {
					break;
				}
				expired.add(waiting);
			}
		}
		expired.forEach(this::remove);
		return expired.stream().map(Waiting::request).toList();
	}

	private void remove(Waiting<T> waiting) {
		Account<T> account = this.accounts.get(waiting.request().account());
		account.waiting.remove(waiting);
		this.size--;
		if (account.waiting.isEmpty()) {
			this.accounts.remove(account.name);
			this.byVirtualTime.remove(account);
		}
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the size of the queue
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns when a refused request should be sent again: the time in which all requests
	 * that wait now will have left the queue, at the recent rate of completions.
	 * @return the time, from 50 ms to one minute; one second if too few requests have
	 * ended recently
	 */
	public Duration retryAfter() {
		return this.completions.timeFor(this.size);
	}

	// Estimates the wait from the requests that are served before a new one: all of its
	// own account, and of each other account as many as its weight allows meanwhile.
	private Duration expectedWait(int ownWaiting, int weight) {
		double rounds = (ownWaiting + 1) / (double) weight;
		double ahead = 0;
		for (Account<T> account : this.accounts.values()) {
			ahead += Math.min(account.waiting.size(), rounds * account.weight);
		}
		return this.completions.timeFor((int) Math.ceil(ahead));
	}

	private static final class Account<T> {

		private final String name;

		private final TreeSet<Waiting<T>> waiting = new TreeSet<>();

		private int weight;

		private double virtualTime;

		private Account(String name) {
			this.name = name;
		}

		private double backlog() {
			return this.waiting.size() / (double) this.weight;
		}

	}

	private record Waiting<T>(QueuedRequest<T> request, long sequence) implements Comparable<Waiting<T>> {

		@Override
		public int compareTo(Waiting<T> other) {
			int byDeadline = Long.compare(this.request.deadlineNanos(), other.request.deadlineNanos());
			return (byDeadline != 0) ? byDeadline : Long.compare(this.sequence, other.sequence);
		}

	}

}
