package org.ragworthook.gateway.feed;

import java.time.Duration;

/**
 * Decides for how long a watch lets changes gather before it asks for them.
 * <p>
 * Every process watches the same collections, so one change is a call of the store by
 * each of them, and while all upstreams register the calls grow with the square of the
 * fleet. After a pause one call takes all that has changed meanwhile. A lone change is
 * seen at once, since a watch that has nothing to tell waits at the store.
 */
public final class CoalescingDelay {

	/** How much each process adds to the pause. */
	private static final Duration PER_PROCESS = Duration.ofMillis(25);

	/**
	 * The part of an upstream's notice that may pass in a pause; what is left is enough
	 * for a call that is not answered and for the next one.
	 */
	private static final int PART_OF_NOTICE = 3;

	/**
	 * How much each process that runs jobs adds to the pause between two looks for jobs.
	 */
	private static final Duration PER_RUNNER = Duration.ofMillis(150);

	/**
	 * The longest pause between two looks for jobs. The owner of a job is told of it, and
	 * of its end, by the entry that accepted it, and looks at once; this is for when that
	 * is lost.
	 */
	static final Duration MOST_JOBS = Duration.ofMillis(1_500);

	private final Duration longest;

	private CoalescingDelay(Duration longest) {
		this.longest = longest;
	}

	/**
	 * Returns the rule for upstreams.
	 * @param notice how soon after an upstream says that it leaves nothing may be sent to
	 * it any longer
	 * @return the rule
	 */
	public static CoalescingDelay forDrainNotice(Duration notice) {
		return new CoalescingDelay(notice.dividedBy(PART_OF_NOTICE));
	}

	/**
	 * Returns the longest pause.
	 * @return the time by which a change may be seen late
	 */
	Duration max() {
		return this.longest;
	}

	/**
	 * Returns the pause after changes were seen.
	 * @param processes how many processes watch, this one included
	 * @return the pause
	 */
	public Duration forProcesses(int processes) {
		return pause(PER_PROCESS, processes, this.longest);
	}

	/**
	 * Returns the pause after new jobs were seen.
	 * @param runners how many processes run jobs, this one included
	 * @return the pause
	 */
	public static Duration forJobs(int runners) {
		return pause(PER_RUNNER, runners, MOST_JOBS);
	}

	private static Duration pause(Duration each, int processes, Duration most) {
		Duration pause = each.multipliedBy(Math.max(0, processes - 1));
		return (pause.compareTo(most) < 0) ? pause : most;
	}

}
