package org.ragworthook.core.fleet;

import java.util.Objects;

/**
 * A part of a region whose instances can fail together.
 *
 * @param region the region that contains the failure domain
 * @param name the failure domain's name, unique across all regions
 */
public record FailureDomain(String region, String name) implements Comparable<FailureDomain> {

	/**
	 * Rejects null components.
	 */
	public FailureDomain {
		Objects.requireNonNull(region, "region is null");
		Objects.requireNonNull(name, "name is null");
	}

	/**
	 * Returns a failure domain.
	 * @param region the region that contains the failure domain
	 * @param name the failure domain's name, unique across all regions
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
