package org.ragworthook.core.time;

import java.time.Duration;

/**
 * Runs tasks after a delay.
 */
@FunctionalInterface
public interface Timers {

	/**
	 * Runs a task once after a delay.
	 * @param delay how long to wait; a negative delay counts as zero
	 * @param task what to run
	 * @return a handle that cancels the task
	 */
	Timer schedule(Duration delay, Runnable task);

	/**
	 * A task that waits to be run.
	 */
	@FunctionalInterface
	interface Timer {

		/**
		 * Keeps the task from running, unless it runs already or has run.
		 */
		void cancel();

	}

}
