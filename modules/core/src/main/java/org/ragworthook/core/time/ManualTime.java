package org.ragworthook.core.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.PriorityQueue;

/**
 * A ticker and timers whose time moves only by {@link #advance}. For tests, and for
 * embedders that replay a run.
 */
public final class ManualTime implements Ticker, Timers {

	private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledTask::dueNanos).thenComparingLong(ScheduledTask::order));

	private long nowNanos;

	private long order;

	private ManualTime() {
	}

	/**
	 * Returns a manual time that starts at zero.
	 * @return a new manual time
	 */
	public static ManualTime of() {
		return new ManualTime();
	}

	@Override
	public synchronized long nanos() {
		return this.nowNanos;
	}

	@Override
	public synchronized Timer schedule(Duration delay, Runnable task) {
		Objects.requireNonNull(delay, "delay is null");
		Objects.requireNonNull(task, "task is null");
		ScheduledTask scheduled = new ScheduledTask(this.nowNanos + Math.max(0, delay.toNanos()), this.order++, task);
		this.scheduledTasks.add(scheduled);
		return () -> cancel(scheduled);
	}

	private synchronized void cancel(ScheduledTask scheduled) {
		this.scheduledTasks.remove(scheduled);
	}

	/**
	 * Advances the time and runs every task that becomes due on the calling thread, in
	 * order of due time.
	 * @param step the duration to advance by, not negative
	 */
	public void advance(Duration step) {
		Objects.requireNonNull(step, "step is null");
		long targetNanos = nanos() + step.toNanos();
		for (ScheduledTask scheduled = pollDue(targetNanos); scheduled != null; scheduled = pollDue(targetNanos)) {
			scheduled.task().run();
		}
		synchronized (this) {
			this.nowNanos = targetNanos;
		}
	}

	private synchronized ScheduledTask pollDue(long targetNanos) {
		ScheduledTask earliest = this.scheduledTasks.peek();
		if (earliest == null || earliest.dueNanos() > targetNanos) {
			return null;
		}
		this.nowNanos = Math.max(this.nowNanos, earliest.dueNanos());
		return this.scheduledTasks.poll();
	}

	private record ScheduledTask(long dueNanos, long order, Runnable task) {
	}

}
