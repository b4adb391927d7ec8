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
 * Which of the sidecars of a service an entry links to. Every entry works it out alike
 * from the same list, by rendezvous hashing, so that it moves little when an instance
 * comes or goes:
 * <ul>
 * <li>a sidecar picks some entries of its own failure domain and one of another, so that
 * every sidecar is covered and stays covered when a failure domain is lost;</li>
 * <li>an entry picks some sidecars of its own, so that none is left without;</li>
 * <li>a small service is linked to whole.</li>
 * </ul>
 */
public final class SubsetSelector {

	private final int cover;

	private final int least;

	private final int whole;

	private SubsetSelector(int cover, int least, int whole) {
		this.cover = cover;
		this.least = least;
		this.whole = whole;
	}

	/**
	 * Returns a rule.
	 * @param cover how many entries of its own failure domain a sidecar has links to, at
	 * least one
	 * @param least how many sidecars an entry links to at least, where there are as many
	 * @param whole up to how many sidecars an entry links to all
	 * @return the rule
	 */
	public static SubsetSelector of(int cover, int least, int whole) {
		if (cover < 1 || least < 1) {
			throw new IllegalArgumentException("cover " + cover + " and least " + least + " are not both positive");
		}
		return new SubsetSelector(cover, least, whole);
	}

	/**
	 * Returns the rule that suits most fleets: three entries of the own failure domain
	 * and one of another for each sidecar, eight sidecars at least, all up to 32.
	 * @return the rule
	 */
	public static SubsetSelector defaults() {
		return of(3, 8, 32);
	}

	/**
	 * Works out the subset of an entry.
	 * @param self the entry
	 * @param entries all entries, with or without {@code self}
	 * @param sidecars all sidecars of a service
	 * @return the sidecars that the entry links to
	 */
	public Set<Instance> of(Instance self, Collection<Instance> entries, Collection<Instance> sidecars) {
		Objects.requireNonNull(self, "self is null");
		if (sidecars.size() <= this.whole) {
			return new LinkedHashSet<>(sidecars);
		}
		List<Hashed> hashedEntries = Stream.concat(entries.stream(), Stream.of(self))
			.distinct()
			.map(Hashed::of)
			.toList();
		List<Hashed> hashedSidecars = sidecars.stream().map(Hashed::of).toList();
		Set<Instance> chosen = new LinkedHashSet<>();
		for (Hashed sidecar : hashedSidecars) {
			if (picks(sidecar, hashedEntries, self)) {
				chosen.add(sidecar.instance());
			}
		}
		if (chosen.size() < this.least) {
			Hashed hashedSelf = Hashed.of(self);
			hashedSidecars.stream()
				.sorted(Comparator.comparingLong((sidecar) -> Hashing.mix(hashedSelf.hash(), sidecar.hash())))
				.map(Hashed::instance)
				.filter((sidecar) -> !chosen.contains(sidecar))
				.limit(this.least - (long) chosen.size())
				.forEach(chosen::add);
		}
		return chosen;
	}

	private boolean picks(Hashed sidecar, List<Hashed> entries, Instance self) {
		FailureDomain domain = sidecar.instance().failureDomain();
		List<Hashed> near = entries.stream()
			.filter((entry) -> entry.instance().failureDomain().equals(domain))
			.toList();
		boolean own = self.failureDomain().equals(domain);
		if (own) {
			return rank(sidecar, near, self) < this.cover;
		}
		// A failure domain with too few entries borrows the rest from the others.
		int borrowed = 1 + Math.max(0, this.cover - near.size());
		List<Hashed> far = new ArrayList<>(entries);
		far.removeAll(near);
		return rank(sidecar, far, self) < borrowed;
	}

	// Returns how many entries a sidecar prefers to this one.
	private static int rank(Hashed sidecar, List<Hashed> entries, Instance self) {
		long own = Hashing.mix(Hashing.of(self.id()), sidecar.hash());
		int better = 0;
		for (Hashed entry : entries) {
			if (Hashing.mix(entry.hash(), sidecar.hash()) < own) {
				better++;
			}
		}
		return better;
	}

	private record Hashed(Instance instance, long hash) {

		private static Hashed of(Instance instance) {
			return new Hashed(instance, Hashing.of(instance.id()));
		}

	}

}
