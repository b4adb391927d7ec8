package org.ragworthook.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Instance;

/**
 * Merges the platform's list of instances with what the links to them say.
 * <p>
 * The list lags and flaps: an instance that has said that it leaves may be listed as live
 * for a long time, and one that serves may be missing for a while. Believing the list
 * alone would send work to an instance that is about to exit, which one notices by
 * requests that fail during every planned stop. So the word of a link goes before the
 * list: a run that said that it leaves never gets work again, for no other run bears its
 * identity; an instance whose link is lost gets none until it is linked again; and one
 * that is linked keeps its place whatever the list says.
 * <p>
 * Instances are told apart by where they take links, since the list does not know which
 * run of a process listens there. Changes are few and take a lock; {@link #members()}
 * takes none.
 */
public final class Membership {

	private final Map<Address, Instance> listed = new HashMap<>();

	private final Map<Address, Linked> linked = new HashMap<>();

	/** By address, the last run that said it leaves. */
	private final Map<Address, String> leaving = new HashMap<>();

	private volatile Members members = Members.NONE;

	private Membership() {
	}

	/**
	 * Returns a membership without instances.
	 * @return a new membership
	 */
	public static Membership empty() {
		return new Membership();
	}

	/**
	 * Returns the instances as they are known now.
	 * @return the newest snapshot
	 */
	public Members members() {
		return this.members;
	}

	/**
	 * Takes in the platform's list.
	 * @param instances the whole list
	 * @return the new snapshot
	 */
	public synchronized Members instancesListed(Collection<Instance> instances) {
		Objects.requireNonNull(instances, "instances is null");
		this.listed.clear();
		instances.forEach((instance) -> this.listed.put(instance.link(), instance));
		return publish();
	}

	/**
	 * Learns that an instance is linked.
	 * @param instance the instance as the list showed it
	 * @param run the identity that this run of it greeted with
	 * @param leaves whether it greeted as leaving
	 * @return the new snapshot
	 */
	public synchronized Members linkOpened(Instance instance, String run, boolean leaves) {
		this.linked.put(instance.link(), new Linked(instance, Objects.requireNonNull(run, "run is null")));
		if (leaves) {
			this.leaving.put(instance.link(), run);
		}
		return publish();
	}

	/**
	 * Learns that a run leaves, by its own word.
	 * @param address where it takes links
	 * @param run the identity that it greeted with
	 * @return the new snapshot
	 */
	public synchronized Members drainAnnounced(Address address, String run) {
		this.leaving.put(Objects.requireNonNull(address, "address is null"),
				Objects.requireNonNull(run, "run is null"));
		return publish();
	}

	/**
	 * Learns that the link to an instance is lost.
	 * @param address where it took links
	 * @return the new snapshot
	 */
	public synchronized Members linkLost(Address address) {
		this.linked.remove(Objects.requireNonNull(address, "address is null"));
		return publish();
	}

	private Members publish() {
		Map<Address, Instance> wanted = new HashMap<>(this.listed);
		this.linked.forEach((address, link) -> wanted.putIfAbsent(address, link.instance()));
		// A run that has left greets nobody again once its address is neither listed nor
		// linked, so its word need not be kept.
		this.leaving.keySet().retainAll(wanted.keySet());
		List<Instance> routable = new ArrayList<>();
		this.linked.forEach((address, link) -> {
			Instance shown = this.listed.get(address);
			boolean gone = link.run().equals(this.leaving.get(address)) || (shown != null && shown.leaving());
			if (!gone) {
				routable.add(link.instance());
			}
		});
		this.members = new Members(routable, List.copyOf(wanted.values()));
		return this.members;
	}

	private record Linked(Instance instance, String run) {
	}

}
