package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * What a process has observed of a part.
 *
 * @param part the key of the part
 * @param position the greatest position of the part in a prompt, from 0
 * @param companions the parts without a complete response that all lost requests with the
 * part had, itself included unless it had one
 * @param companionsOmitted whether there may be such parts besides
 * @param crashAges the upstreams that were lost while they ran requests with the part, by
 * their key, and how long ago
 * @param successAge how long ago the last complete response to a request with the part
 * ended, or empty if there was none
 */
public record PartObservation(long part, int position, Set<Long> companions, boolean companionsOmitted,
		Map<Integer, Duration> crashAges, Optional<Duration> successAge) {

	/**
	 * Copies the collections.
	 */
	public PartObservation {
		companions = Set.copyOf(companions);
		crashAges = Map.copyOf(crashAges);
		Objects.requireNonNull(successAge, "successAge is null");
	}

}
