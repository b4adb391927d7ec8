package org.ragworthook.gateway.feed;

import java.time.Duration;

/**
 * Decides for how long a watch lets changes gather before it asks for them.
 * <p>
 * Every process watches the same collections, so one change is a call of the store by
 * each of them; when all upstreams register within some seconds, that is the number of
 * upstreams times the number of processes. One notices calls of the store that grow with
 * the square of the fleet, and a store that turns calls away during a common start. After
 * a pause one call takes all that has changed meanwhile. A lone change is still seen at
 * once, since a watch that has nothing to tell waits at the store.
 */
public final class GatheringRule {

	/**
	 * How much each process adds to the pause: all together then make at most some 100
	 * calls a second for a collection that changes all the time.
	 */
	private static final Duration PER_PROCESS = Duration.ofMillis(10);

	/**
	 * The longest pause. A change of configuration or an upstream that drains has to be
	 * known everywhere within two seconds; a fifth of that leaves time for a call that is
	 * answered late, and for a second one.
	 */
	static final Duration MOST = Duration.ofMillis(400);

	private GatheringRule() {
	}

	/**
	 * Returns the pause after changes were seen.
	 * @param processes how many processes watch, this one included
	 * @return the pause
	 */
	public static Duration pause(int processes) {
		Duration pause = PER_PROCESS.multipliedBy(Math.max(0, processes - 1));
		return (pause.compareTo(MOST) < 0) ? pause : MOST;
	}

}
