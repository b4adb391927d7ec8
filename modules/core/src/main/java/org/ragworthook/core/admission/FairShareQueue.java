package org.ragworthook.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The requests that wait for a slot of one service, with the slots divided among client
 * accounts. Answers an overload by some accounts: in order of arrival or by earliest
 * target, an account that sends a multiple of its usual rate makes the requests of all
 * others late. Not thread-safe.
 * <p>
 * Slots go to the highest priority level; at most 7 in a row bypass a lower level that
 * has waiting requests. Within a level, requests that can still start on time come first,
 * and every fourth slot goes to a late one. Among those, the account that uses the fewest
 * slots relative to its weight is served, and within the account the {@link ServiceOrder}
 * decides. Late requests of an account that uses more than those with requests on time
 * get every fourth slot of their own account instead. Requests without an account
 * together count as one account. While no waiting request has an account, priorities are
 * ignored, and with {@link ServiceOrder#arrival()} also the targets.
 *
 * @param <T> the type of the queued item; equal items are the same request
 */
public final class FairShareQueue<T> {

	private final Map<T, QueueEntry<T>> entries = new LinkedHashMap<>();

	private final PriorityLevels<T> levels;

	private final TreeSet<QueueEntry<T>> onTime = new TreeSet<>(ServiceOrder.byTarget());

	private final AccountTable<T> accounts = new AccountTable<>();

	private final SheddingPolicy<T> shedding = new SheddingPolicy<>();

	private final List<QueueEntry<T>> arrivals = new ArrayList<>();

	private long nextSequence;

	private int withAccount;

	private boolean draining;

	private FairShareQueue(Builder<T> builder) {
		this.levels = new PriorityLevels<>(builder.order);
	}

	/**
	 * Returns a builder of a queue that serves in order of arrival unless set otherwise.
	 * @param <T> the type of the queued item
	 * @return a new builder
	 */
	public static <T> Builder<T> builder() {
		return new Builder<>();
	}

	/**
	 * Adds a request. It replaces a request whose item is equal.
	 * @param request the request
	 */
	public void add(WaitingRequest<T> request) {
		Objects.requireNonNull(request, "request is null");
		QueueEntry<T> replaced = this.entries.get(request.item());
		boolean newArrival = replaced == null || this.arrivals.remove(replaced);
		remove(request.item());
		AccountState<T> account = this.accounts.forArrival(request.account());
		if (account.weight() != request.weight()) {
			account.weight(request.weight());
			AccountTable.reindex(account);
		}
		QueueEntry<T> entry = new QueueEntry<>(request, this.nextSequence++,
				this.levels.lane(account, request.priority()));
		if (replaced != null && replaced.returned()) {
			entry.markReturned();
		}
		this.entries.put(request.item(), entry);
		entry.lane().level().countWaiting(1);
		entry.lane().add(entry);
		this.onTime.add(entry);
		this.withAccount += request.account().isPresent() ? 1 : 0;
		this.shedding.queueChanged();
		if (newArrival) {
			this.arrivals.add(entry);
		}
	}

	/**
	 * Removes a request.
	 * @param item the request's item
	 * @return whether it was in the queue
	 */
	public boolean remove(T item) {
		QueueEntry<T> entry = this.entries.remove(item);
		if (entry == null) {
			return false;
		}
		entry.lane().remove(entry);
		entry.lane().level().countWaiting(-1);
		this.onTime.remove(entry);
		this.withAccount -= entry.request().account().isPresent() ? 1 : 0;
		this.shedding.queueChanged();
		if (this.entries.isEmpty()) {
			// An empty queue need not be drained, which would clear these.
			this.arrivals.clear();
			this.accounts.clearUnread();
		}
		return true;
	}

	/**
	 * Removes requests.
	 * @param condition matches the items of the requests to remove
	 */
	public void removeIf(Predicate<T> condition) {
		this.entries.keySet().stream().filter(condition).toList().forEach(this::remove);
	}

	/**
	 * Returns whether a request waits.
	 * @param item the request's item
	 * @return whether it is in the queue
	 */
	public boolean contains(T item) {
		return this.entries.containsKey(item);
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the size of the queue
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Offers slots to the requests, the next one first, and removes those that were
	 * placed. A request that cannot be placed does not block those behind it, since it
	 * may exclude the very upstreams that have a free slot. After 4 such requests of an
	 * account its other requests are not offered slots, and after 8 of one level without
	 * a placed one between them, which are of two accounts at least, no slot is assumed
	 * to be free. A bypassed level goes before higher ones only until its first such
	 * request.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param shares the slots that accounts use, without those granted in this call; for
	 * requests without an account, those of {@link AccountShares#NO_ACCOUNT}
	 * @param tryPlace gives a request a slot and returns whether one was free; may add
	 * and remove requests
	 * @throws IllegalStateException if called by {@code tryPlace}
	 */
	public void drain(long nowNanos, AccountShares shares, Predicate<T> tryPlace) {
		if (this.draining) {
			throw new IllegalStateException("drain was called by tryPlace");
		}
		begin(nowNanos, shares);
		this.draining = true;
		try {
			Optional<QueueEntry<T>> next = next(shares);
			while (next.isPresent() && !this.levels.passEnded()) {
				QueueEntry<T> entry = next.get();
				if (tryPlace.test(entry.request().item())) {
					granted(entry);
				}
				else {
					this.accounts.skipped(entry);
					this.levels.skipped(entry);
				}
				next = next(shares);
			}
		}
		finally {
			this.draining = false;
			this.levels.endPass();
			this.accounts.endPass();
		}
	}

	private Optional<QueueEntry<T>> next(AccountShares shares) {
		return (this.withAccount > 0) ? this.levels.next(this.accounts, shares) : this.levels.nextWithoutAccounts();
	}

	private void granted(QueueEntry<T> entry) {
		if (this.withAccount > 0) {
			this.levels.served(entry);
		}
		else {
			this.levels.servedWithoutAccounts(entry);
		}
		remove(entry.request().item());
		this.accounts.granted(entry.lane().account());
	}

	/**
	 * Removes requests that would not start by their targets at the rate at which slots
	 * become free, if their account is above its share of the slots and their callers can
	 * return in time. No request is removed while no waiting request has an account.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param shares the slots that accounts use, including those granted so far
	 * @param forecast how soon slots become free; nothing is shed if it is not known
	 * @return the requests removed; of one account, in the order in which their callers
	 * return
	 * @throws IllegalStateException if called by {@code tryPlace} of {@link #drain}
	 */
	public List<ShedRequest<T>> shed(long nowNanos, AccountShares shares, SlotForecast forecast) {
		if (this.draining) {
			throw new IllegalStateException("shed was called by tryPlace");
		}
		begin(nowNanos, shares);
		if (this.withAccount == 0 || this.onTime.isEmpty()) {
			return List.of();
		}
		long earliestTarget = this.onTime.first().request().startTargetNanos();
		if (!this.shedding.due(nowNanos, forecast, this.entries.size(), this.onTime.size(), earliestTarget)) {
			return List.of();
		}
		List<ShedRequest<T>> shed = this.shedding.evaluate(nowNanos, forecast, this.levels.all(), this.accounts,
				shares);
		shed.forEach((request) -> remove(request.item()));
		return shed;
	}

	private void begin(long nowNanos, AccountShares shares) {
		for (QueueEntry<T> arrival : this.arrivals) {
			if (this.entries.get(arrival.request().item()) == arrival) {
				this.shedding.arrived(nowNanos, arrival);
			}
		}
		this.arrivals.clear();
		while (!this.onTime.isEmpty() && this.onTime.first().request().startTargetNanos() - nowNanos < 0) {
			QueueEntry<T> entry = this.onTime.pollFirst();
			entry.lane().remove(entry);
			entry.markLate();
			entry.lane().add(entry);
		}
		this.shedding.dropped(this.accounts.begin(nowNanos, shares));
	}

	/**
	 * Builds a {@link FairShareQueue}.
	 *
	 * @param <T> the type of the queued item
	 */
	public static final class Builder<T> {

		private ServiceOrder order = ServiceOrder.arrival();

		private Builder() {
		}

		/**
		 * Sets the order of the requests of one account.
		 * @param serviceOrder the order
		 * @return this builder
		 */
		public Builder<T> order(ServiceOrder serviceOrder) {
			this.order = Objects.requireNonNull(serviceOrder, "serviceOrder is null");
			return this;
		}

		/**
		 * Builds the queue.
		 * @return an empty queue
		 */
		public FairShareQueue<T> build() {
			return new FairShareQueue<>(this);
		}

	}

}
