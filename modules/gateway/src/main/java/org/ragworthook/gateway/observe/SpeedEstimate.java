package org.ragworthook.gateway.observe;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * How fast an upstream is.
 *
 * @param gapMicros the usual time between two events of a stream, in microseconds,
 * converted to the lowest level of load; empty if no gap was observed
 * @param firstEventMicros the usual time from sending a request to its first event while
 * a slot is free, in microseconds; empty if none was observed
 * @param samples the number of observations behind both; those of peers count less with
 * their age
 */
record SpeedEstimate(OptionalDouble gapMicros, OptionalDouble firstEventMicros, int samples) {

	static final SpeedEstimate UNKNOWN = new SpeedEstimate(OptionalDouble.empty(), OptionalDouble.empty(), 0);

	SpeedEstimate {
		Objects.requireNonNull(gapMicros, "gapMicros is null");
		Objects.requireNonNull(firstEventMicros, "firstEventMicros is null");
	}

}
