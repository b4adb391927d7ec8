package org.ragworthook.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

import org.ragworthook.core.fleet.FailureDomain;

/**
 * The upstreams of one service as an entry may choose among them: those of its own
 * failure domain and the others. Immutable; a change makes a new table.
 */
public final class RouteTable {

	private static final RouteTable EMPTY = new RouteTable(new UpstreamGroup(List.of()), new UpstreamGroup(List.of()));

	private final UpstreamGroup near;

	private final UpstreamGroup far;

	private RouteTable(UpstreamGroup near, UpstreamGroup far) {
		this.near = near;
		this.far = far;
	}

	/**
	 * Returns the table without upstreams.
	 * @return the empty table
	 */
	public static RouteTable empty() {
		return EMPTY;
	}

	/**
	 * Returns a table.
	 * @param own the failure domain of the entry
	 * @param upstreams all upstreams that it may choose
	 * @return the table
	 */
	public static RouteTable of(FailureDomain own, Collection<Upstream> upstreams) {
		Objects.requireNonNull(own, "own is null");
		List<Upstream> near = new ArrayList<>();
		List<Upstream> far = new ArrayList<>();
		for (Upstream upstream : upstreams) {
			(upstream.instance().failureDomain().equals(own) ? near : far).add(upstream);
		}
		return new RouteTable(new UpstreamGroup(near), new UpstreamGroup(far));
	}

	/**
	 * Returns how many upstreams there are.
	 * @return the number, in all failure domains
	 */
	public int size() {
		return this.near.size() + this.far.size();
	}

	/**
	 * Returns all upstreams.
	 * @return those of the own failure domain first
	 */
	public List<Upstream> upstreams() {
		List<Upstream> all = new ArrayList<>(this.near.members());
		all.addAll(this.far.members());
		return all;
	}

	UpstreamGroup near() {
		return this.near;
	}

	UpstreamGroup far() {
		return this.far;
	}

}
