package org.ragworthook.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;

/**
 * Selects the subset of a service's sidecars that an entry links to. Every entry computes
 * it independently from the same instance list, by rendezvous hashing, so that few links
 * change when an instance is added or removed:
 * <ul>
 * <li>each sidecar is assigned to some entries in its own failure domain and to one in
 * another, so that it keeps a link when a failure domain is lost;</li>
 * <li>each entry has a minimum number of sidecars, so that no entry is left without;</li>
 * <li>all sidecars of a small service are selected.</li>
 * </ul>
 */
public final class SubsetSelector {

	private final int entriesPerSidecar;

	private final int minSidecars;

	private final int maxForAll;

	private SubsetSelector(int entriesPerSidecar, int minSidecars, int maxForAll) {
		this.entriesPerSidecar = entriesPerSidecar;
		this.minSidecars = minSidecars;
		this.maxForAll = maxForAll;
	}

	/**
	 * Returns a selector.
	 * @param entriesPerSidecar the number of entries in its own failure domain that a
	 * sidecar is assigned to, at least one
	 * @param minSidecars the minimum number of sidecars of an entry, if there are as many
	 * @param maxForAll the number of sidecars up to which all are selected
	 * @return the selector
	 */
	public static SubsetSelector of(int entriesPerSidecar, int minSidecars, int maxForAll) {
		if (entriesPerSidecar < 1 || minSidecars < 1) {
			throw new IllegalArgumentException("entriesPerSidecar " + entriesPerSidecar + " and minSidecars "
					+ minSidecars + " are not both positive");
		}
		return new SubsetSelector(entriesPerSidecar, minSidecars, maxForAll);
	}

	/**
	 * Returns a selector with defaults for most fleets: three entries in its own failure
	 * domain and one in another per sidecar, at least eight sidecars per entry, and all
	 * sidecars up to 32.
	 * @return the selector
	 */
	public static SubsetSelector defaults() {
		return of(3, 8, 32);
	}

	/**
	 * Selects the subset of an entry.
	 * @param self the entry
	 * @param entries all entries; may omit {@code self}
	 * @param sidecars all sidecars of a service
	 * @return the sidecars that the entry has to link to
	 */
	public Set<Instance> of(Instance self, Collection<Instance> entries, Collection<Instance> sidecars) {
		Objects.requireNonNull(self, "self is null");
		if (sidecars.size() <= this.maxForAll) {
			return new LinkedHashSet<>(sidecars);
		}
		List<Hashed> hashedEntries = Stream.concat(entries.stream(), Stream.of(self))
			.distinct()
			.map(Hashed::of)
			.toList();
		List<Hashed> hashedSidecars = sidecars.stream().map(Hashed::of).toList();
		Set<Instance> selected = new LinkedHashSet<>();
		for (Hashed sidecar : hashedSidecars) {
			if (assigns(sidecar, hashedEntries, self)) {
				selected.add(sidecar.instance());
			}
		}
		if (selected.size() < this.minSidecars) {
			Hashed hashedSelf = Hashed.of(self);
			hashedSidecars.stream()
				.sorted(Comparator.comparingLong((sidecar) -> Hashing.mix(hashedSelf.hash(), sidecar.hash())))
				.map(Hashed::instance)
				.filter((sidecar) -> !selected.contains(sidecar))
				.limit(this.minSidecars - (long) selected.size())
				.forEach(selected::add);
		}
		return selected;
	}

	private boolean assigns(Hashed sidecar, List<Hashed> entries, Instance self) {
		FailureDomain domain = sidecar.instance().failureDomain();
		List<Hashed> local = entries.stream()
			.filter((entry) -> entry.instance().failureDomain().equals(domain))
			.toList();
		boolean isLocal = self.failureDomain().equals(domain);
		if (isLocal) {
			return rank(sidecar, local, self) < this.entriesPerSidecar;
		}
		// If the failure domain has too few entries, the rest come from the other
		// failure domains.
		int remoteCount = 1 + Math.max(0, this.entriesPerSidecar - local.size());
		List<Hashed> remote = new ArrayList<>(entries);
		remote.removeAll(local);
		return rank(sidecar, remote, self) < remoteCount;
	}

	// Returns the number of entries that rank before this one for a sidecar.
	private static int rank(Hashed sidecar, List<Hashed> entries, Instance self) {
		long selfScore = Hashing.mix(Hashing.of(self.id()), sidecar.hash());
		int rank = 0;
		for (Hashed entry : entries) {
			if (Hashing.mix(entry.hash(), sidecar.hash()) < selfScore) {
				rank++;
			}
		}
		return rank;
	}

	private record Hashed(Instance instance, long hash) {

		private static Hashed of(Instance instance) {
			return new Hashed(instance, Hashing.of(instance.id()));
		}

	}

}
