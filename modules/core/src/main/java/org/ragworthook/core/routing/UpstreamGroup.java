package org.ragworthook.core.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Upstreams with equal preference, with a consistent-hash ring over them.
 */
final class UpstreamGroup {

	private static final int POINTS_PER_UPSTREAM = 32;

	private final Upstream[] members;

	private final long[] points;

	private final Upstream[] owners;

	UpstreamGroup(List<Upstream> upstreams) {
		this.members = upstreams.toArray(new Upstream[0]);
		Point[] ring = new Point[this.members.length * POINTS_PER_UPSTREAM];
		for (int i = 0; i < ring.length; i++) {
			Upstream owner = this.members[i / POINTS_PER_UPSTREAM];
			ring[i] = new Point(Hashing.mix(owner.hash(), i % POINTS_PER_UPSTREAM), owner);
		}
		Arrays.sort(ring, Comparator.comparingLong(Point::hash));
		this.points = Arrays.stream(ring).mapToLong(Point::hash).toArray();
		this.owners = Arrays.stream(ring).map(Point::owner).toArray(Upstream[]::new);
	}

	int size() {
		return this.members.length;
	}

	Upstream member(int index) {
		return this.members[index];
	}

	List<Upstream> members() {
		return List.of(this.members);
	}

	/**
	 * Returns the position of a key on the ring.
	 * @param key the key
	 * @return the index of the first point at or after the key
	 */
	int position(long key) {
		int found = Arrays.binarySearch(this.points, key);
		int index = (found >= 0) ? found : -found - 1;
		return (index < this.points.length) ? index : 0;
	}

	Upstream owner(int position) {
		return this.owners[position % this.owners.length];
	}

	private record Point(long hash, Upstream owner) {
	}

}
