package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.Objects;

/**
 * The retention of job results and of the revision history.
 *
 * @param results how long the results of an ended job stay readable
 * @param changes the number of revisions kept in the history
 */
public record Retention(Duration results, int changes) {

	private static final Retention STANDARD = new Retention(Duration.ofDays(30), 1000);

	/**
	 * Checks that {@code results} is not null.
	 */
	public Retention {
		Objects.requireNonNull(results, "results is null");
	}

	/**
	 * Returns the default retention.
	 * @return 30 days and 1,000 changes
	 */
	public static Retention standard() {
		return STANDARD;
	}

}
