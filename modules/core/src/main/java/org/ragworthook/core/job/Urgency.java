package org.ragworthook.core.job;

/**
 * The factor by which a job's share grows as its due time approaches: 1 while the job
 * needs at most half of the time that is left, rising linearly to 16 when it needs all of
 * it.
 */
final class Urgency {

	private static final double MAX_FACTOR = 16;

	private static final double NORMAL_BELOW = 0.5;

	private Urgency() {
	}

	/**
	 * Returns the factor.
	 * @param now the time of day, in milliseconds of Unix time
	 * @param expected when the job is expected to end, in milliseconds of Unix time; 0 if
	 * unknown
	 * @param due when the job is due, in milliseconds of Unix time
	 * @return the factor, from 1 to 16
	 */
	static double of(long now, long expected, long due) {
		if (now >= due) {
			return MAX_FACTOR;
		}
		if (expected == 0) {
			return 1;
		}
		double needed = (double) (expected - now) / (due - now);
		return 1 + (MAX_FACTOR - 1) * Math.min(1, Math.max(0, (needed - NORMAL_BELOW) / (1 - NORMAL_BELOW)));
	}

}
