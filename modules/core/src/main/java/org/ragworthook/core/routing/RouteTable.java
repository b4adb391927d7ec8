package org.ragworthook.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

import org.ragworthook.core.fleet.FailureDomain;

/**
 * The upstreams of one service that an entry can route to, split into those in its own
 * failure domain and the others. Immutable; each change creates a new table.
 */
public final class RouteTable {

	private static final RouteTable EMPTY = new RouteTable(new UpstreamGroup(List.of()), new UpstreamGroup(List.of()));

	private final UpstreamGroup local;

	private final UpstreamGroup remote;

	private RouteTable(UpstreamGroup local, UpstreamGroup remote) {
		this.local = local;
		this.remote = remote;
	}

	/**
	 * Returns a table without upstreams.
	 * @return the empty table
	 */
	public static RouteTable empty() {
		return EMPTY;
	}

	/**
	 * Returns a table of upstreams.
	 * @param own the failure domain of the entry
	 * @param upstreams the upstreams that the entry can route to
	 * @return the table
	 */
	public static RouteTable of(FailureDomain own, Collection<Upstream> upstreams) {
		Objects.requireNonNull(own, "own is null");
		List<Upstream> local = new ArrayList<>();
		List<Upstream> remote = new ArrayList<>();
		for (Upstream upstream : upstreams) {
			(upstream.instance().failureDomain().equals(own) ? local : remote).add(upstream);
		}
		return new RouteTable(new UpstreamGroup(local), new UpstreamGroup(remote));
	}

	/**
	 * Returns the number of upstreams.
	 * @return the number in all failure domains
	 */
	public int size() {
		return this.local.size() + this.remote.size();
	}

	/**
	 * Returns all upstreams.
	 * @return the upstreams, those in the entry's own failure domain first
	 */
	public List<Upstream> upstreams() {
		List<Upstream> all = new ArrayList<>(this.local.members());
		all.addAll(this.remote.members());
		return all;
	}

	UpstreamGroup local() {
		return this.local;
	}

	UpstreamGroup remote() {
		return this.remote;
	}

}
