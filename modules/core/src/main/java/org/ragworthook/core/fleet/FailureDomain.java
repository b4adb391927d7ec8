package org.ragworthook.core.fleet;

import java.util.Objects;

/**
 * A part of a region whose instances can be lost together.
 *
 * @param region the region that it is in
 * @param name its name, unique over all regions
 */
public record FailureDomain(String region, String name) implements Comparable<FailureDomain> {

	/**
	 * Checks that both names are there.
	 */
	public FailureDomain {
		Objects.requireNonNull(region, "region is null");
		Objects.requireNonNull(name, "name is null");
	}

	/**
	 * Returns a failure domain.
	 * @param region the region that it is in
	 * @param name its name
	 * @return the failure domain
	 */
	public static FailureDomain of(String region, String name) {
		return new FailureDomain(region, name);
	}

	@Override
	public int compareTo(FailureDomain other) {
		int byRegion = this.region.compareTo(other.region);
		return (byRegion != 0) ? byRegion : this.name.compareTo(other.name);
	}

}
