package org.ragworthook.core.contract;

import java.time.Duration;
import java.util.Objects;

/**
 * How long things are kept.
 *
 * @param results how long results of an ended job stay readable
 * @param changes how many accepted texts the history holds
 */
public record Retention(Duration results, int changes) {

	private static final Retention STANDARD = new Retention(Duration.ofDays(30), 1000);

	/**
	 * Checks that the time is there.
	 */
	public Retention {
		Objects.requireNonNull(results, "results is null");
	}

	/**
	 * Returns what holds if the text says nothing.
	 * @return 30 days and 1,000 changes
	 */
	public static Retention standard() {
		return STANDARD;
	}

}
