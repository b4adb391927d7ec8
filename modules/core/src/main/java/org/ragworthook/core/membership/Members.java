package org.ragworthook.core.membership;

import java.util.List;
import java.util.Objects;

import org.ragworthook.core.fleet.Instance;

/**
 * A snapshot of the known instances. Immutable.
 *
 * @param routable the instances that may get new work: linked and not draining
 * @param linkTargets the instances to keep links to: listed or linked. Includes draining
 * instances, since the next process may listen on the same address
 */
public record Members(List<Instance> routable, List<Instance> linkTargets) {

	/** A snapshot without instances. */
	public static final Members NONE = new Members(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public Members {
		routable = List.copyOf(Objects.requireNonNull(routable, "routable is null"));
		linkTargets = List.copyOf(Objects.requireNonNull(linkTargets, "linkTargets is null"));
	}

}
