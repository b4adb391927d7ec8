package org.ragworthook.core.job;

/**
 * How much more than its fair share a job gets as its due time comes near: nothing up to
 * half of its time needed, sixteen times once all of it is needed.
 */
final class Urgency {

	private static final double MOST = 16;

	private static final double CALM = 0.5;

	private Urgency() {
	}

	/**
	 * Returns the factor of a job's share.
	 * @param now the time of day in milliseconds
	 * @param expected when the job is expected to end; 0: not known
	 * @param due when it is due
	 * @return from 1 to 16
	 */
	static double of(long now, long expected, long due) {
		if (now >= due) {
			return MOST;
		}
		if (expected == 0) {
			return 1;
		}
		double needed = (double) (expected - now) / (due - now);
		return 1 + (MOST - 1) * Math.min(1, Math.max(0, (needed - CALM) / (1 - CALM)));
	}

}
