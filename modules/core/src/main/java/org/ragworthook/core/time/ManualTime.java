package org.ragworthook.core.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.PriorityQueue;

/**
 * A ticker and timers that move only when told to. For tests and for embedders who replay
 * a run.
 */
public final class ManualTime implements Ticker, Timers {

	private final PriorityQueue<Entry> entries = new PriorityQueue<>(
			Comparator.comparingLong(Entry::due).thenComparingLong(Entry::order));

	private long now;

	private long order;

	private ManualTime() {
	}

	/**
	 * Returns a time that stands at zero.
	 * @return a new time
	 */
	public static ManualTime of() {
		return new ManualTime();
	}

	@Override
	public synchronized long nanos() {
		return this.now;
	}

	@Override
	public synchronized Timer schedule(Duration delay, Runnable task) {
		Objects.requireNonNull(delay, "delay is null");
		Objects.requireNonNull(task, "task is null");
		Entry entry = new Entry(this.now + Math.max(0, delay.toNanos()), this.order++, task);
		this.entries.add(entry);
		return () -> cancel(entry);
	}

	private synchronized void cancel(Entry entry) {
		this.entries.remove(entry);
	}

	/**
	 * Moves time forward and runs every task that falls due, in order of due time.
	 * @param step how far to move, not negative
	 */
	public void advance(Duration step) {
		Objects.requireNonNull(step, "step is null");
		long target = nanos() + step.toNanos();
		for (Entry entry = next(target); entry != null; entry = next(target)) {
			entry.task().run();
		}
		synchronized (this) {
			this.now = target;
		}
	}

	private synchronized Entry next(long target) {
		Entry head = this.entries.peek();
		if (head == null || head.due() > target) {
			return null;
		}
		this.now = Math.max(this.now, head.due());
		return this.entries.poll();
	}

	private record Entry(long due, long order, Runnable task) {
	}

}
