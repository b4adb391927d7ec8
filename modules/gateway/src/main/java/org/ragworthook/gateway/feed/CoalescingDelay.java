package org.ragworthook.gateway.feed;

import java.time.Duration;

/**
 * Decides how long a watch waits after changes before it polls for the next ones.
 * <p>
 * Every process watches the same collections, so one change costs a store call by each of
 * them, and while all upstreams register the number of calls grows with the square of the
 * fleet. After a delay one call fetches all changes of that time. A single change is
 * still seen at once, since a watch without changes is a long poll that waits at the
 * store.
 */
public final class CoalescingDelay {

	/** Delay that each other process adds. */
	private static final Duration DELAY_PER_PROCESS = Duration.ofMillis(25);

	/**
	 * Divides the drain notice of an upstream: the delay is at most a third of it; the
	 * rest is enough for a call that gets no answer and the next one.
	 */
	private static final int NOTICE_DIVISOR = 3;

	/**
	 * Delay between two polls for jobs that each other process that runs jobs adds.
	 */
	private static final Duration DELAY_PER_RUNNER = Duration.ofMillis(150);

	/**
	 * Maximum delay between two polls for jobs. The entry that accepted or ended a job
	 * tells its owner, which polls at once; the delay matters if that message is lost.
	 */
	static final Duration MAX_JOB_DELAY = Duration.ofMillis(1_500);

	private final Duration max;

	private CoalescingDelay(Duration max) {
		this.max = max;
	}

	/**
	 * Returns the delay for upstreams.
	 * @param notice how soon after an upstream has announced that it drains nothing may
	 * be sent to it any longer
	 * @return the delay
	 */
	public static CoalescingDelay forDrainNotice(Duration notice) {
		return new CoalescingDelay(notice.dividedBy(NOTICE_DIVISOR));
	}

	/**
	 * Returns the maximum delay.
	 * @return how late a change may be seen
	 */
	Duration max() {
		return this.max;
	}

	/**
	 * Returns the delay after changes were seen.
	 * @param processes how many processes watch, this one included
	 * @return the delay
	 */
	public Duration forProcesses(int processes) {
		return delay(DELAY_PER_PROCESS, processes, this.max);
	}

	/**
	 * Returns the delay after new jobs were seen.
	 * @param runners how many processes run jobs, this one included
	 * @return the delay
	 */
	public static Duration forJobs(int runners) {
		return delay(DELAY_PER_RUNNER, runners, MAX_JOB_DELAY);
	}

	private static Duration delay(Duration perProcess, int processes, Duration max) {
		Duration delay = perProcess.multipliedBy(Math.max(0, processes - 1));
		return (delay.compareTo(max) < 0) ? delay : max;
	}

}
