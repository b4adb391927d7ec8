package org.ragworthook.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * One lane in an evaluation of the queue: what its account uses and needs, its share of
 * the slots, and how its requests are served in the forecast.
 *
 * @param <T> the type of the queued item
 */
final class Claim<T> {

	private final AccountLane<T> lane;

	private final double used;

	private final Iterator<QueueEntry<T>> requests;

	private final Iterator<Long> returns;

	private final List<Missed<T>> missed = new ArrayList<>(0);

	private final LateTurns lateTurns;

	private int late;

	private double share;

	private double load;

	private QueueEntry<T> next;

	private Long nextReturn;

	private long lastStartNanos = Long.MIN_VALUE;

	Claim(AccountLane<T> lane) {
		this.lane = lane;
		AccountState<T> account = lane.account();
		// The slots in use and the callers expected back are not known by level; they
		// count at the highest level at which the account waits.
		boolean first = account.lanes().stream().filter((other) -> !other.isEmpty()).findFirst().orElseThrow() == lane;
		this.used = first ? account.slots() : 0;
		this.load = account.load();
		this.requests = lane.entries(false).iterator();
		this.returns = first ? account.returns().iterator() : List.<Long>of().iterator();
		this.nextReturn = this.returns.hasNext() ? this.returns.next() : null;
		this.lateTurns = lane.lateTurns().copy();
		this.late = lane.entries(true).size();
		moveOn();
	}

	AccountLane<T> lane() {
		return this.lane;
	}

	double used() {
		return this.used;
	}

	/**
	 * Returns the slots that the account uses or waits for.
	 * @return the number of slots
	 */
	double demand() {
		return this.used + this.lane.entries(false).size() + this.lane.entries(true).size();
	}

	/**
	 * Returns the fair share of the slots.
	 * @return the number of slots
	 */
	double share() {
		return this.share;
	}

	void share(double slots) {
		this.share = slots;
	}

	double load() {
		return this.load;
	}

	boolean aboveShare() {
		return this.share < demand();
	}

	/**
	 * Returns whether late requests wait.
	 * @return whether there are any, also such that have become late in the forecast
	 */
	boolean hasLate() {
		return this.late > 0;
	}

	/**
	 * Takes a late request if the next slot of the account is for one.
	 * @return whether one was taken
	 */
	boolean takeLate() {
		if (this.late == 0 || !this.lateTurns.lateDue()) {
			return false;
		}
		this.late--;
		return true;
	}

	/**
	 * Counts a slot.
	 * @param late whether it went to a late request
	 * @param slots how much the slot counts relative to those in use now
	 */
	void served(boolean late, double slots) {
		this.lateTurns.served(late);
		this.load += slots / this.lane.account().weight();
	}

	/**
	 * Returns whether a refused caller is expected back by a time, and moves on to the
	 * next one.
	 * @param nanos the ticker's reading in nanoseconds
	 * @return whether a slot at this time is for a refused caller
	 */
	boolean takeReturn(long nanos) {
		if (this.nextReturn == null || this.nextReturn - nanos > 0) {
			return false;
		}
		this.nextReturn = this.returns.hasNext() ? this.returns.next() : null;
		return true;
	}

	/**
	 * Returns the next request.
	 * @return the request, or null if there is none
	 */
	QueueEntry<T> next() {
		return this.next;
	}

	void start(long nanos) {
		this.lastStartNanos = nanos;
		moveOn();
	}

	void miss(long startNanos) {
		this.missed.add(new Missed<>(this.next, startNanos));
		moveOn();
	}

	void becomeLate() {
		this.late++;
		moveOn();
	}

	private void moveOn() {
		this.next = this.requests.hasNext() ? this.requests.next() : null;
	}

	/**
	 * Returns the requests that would start after their targets.
	 * @return the requests in service order
	 */
	List<Missed<T>> missed() {
		return this.missed;
	}

	/**
	 * Returns when the last request starts that starts by its target.
	 * @return the ticker's reading in nanoseconds, or the minimum value if there is none
	 */
	long lastStartNanos() {
		return this.lastStartNanos;
	}

	/**
	 * A request that would start after its target.
	 *
	 * @param entry the request
	 * @param startNanos the ticker's reading in nanoseconds at which it would start
	 * @param <T> the type of the queued item
	 */
	record Missed<T>(QueueEntry<T> entry, long startNanos) {
	}

}
