package org.ragworthook.core.membership;

import java.util.List;
import java.util.Objects;

import org.ragworthook.core.fleet.Instance;

/**
 * The instances at one moment. Immutable.
 *
 * @param routable those that may get new work: linked, and not leaving
 * @param linkTargets those to be linked to: listed or linked. One that leaves is among
 * them, since its next run may listen at the same address
 */
public record Members(List<Instance> routable, List<Instance> linkTargets) {

	/** No instances. */
	public static final Members NONE = new Members(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public Members {
		routable = List.copyOf(Objects.requireNonNull(routable, "routable is null"));
		linkTargets = List.copyOf(Objects.requireNonNull(linkTargets, "wanted is null"));
	}

}
