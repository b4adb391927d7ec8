package org.ragworthook.core.time;

import java.time.Duration;

/**
 * Schedules tasks to run after a delay.
 */
@FunctionalInterface
public interface Timers {

	/**
	 * Runs a task once after a delay.
	 * @param delay the delay before the task runs; a negative delay counts as zero
	 * @param task the task to run
	 * @return a handle that cancels the task
	 */
	Timer schedule(Duration delay, Runnable task);

	/**
	 * A handle of a scheduled task.
	 */
	@FunctionalInterface
	interface Timer {

		/**
		 * Cancels the task; has no effect if the task is running or has run.
		 */
		void cancel();

	}

}
