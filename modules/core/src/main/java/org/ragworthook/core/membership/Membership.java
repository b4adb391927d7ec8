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
 * Merges the platform's instance list with the state of the links to the instances.
 * <p>
 * The list is delayed and unstable: a draining instance may be listed as live for a long
 * time, and a serving one may be missing for a while. Relying on the list alone would
 * send work to instances that are about to exit, and requests would fail during every
 * planned stop. Link state therefore takes precedence: a process that has announced that
 * it is draining never gets work again, identified by its run id; an instance whose link
 * is lost gets none until it is linked again; and a linked instance stays routable even
 * if it is not listed.
 * <p>
 * Instances are keyed by their link address, since the list does not show which process
 * listens there. Updates are rare and synchronized; {@link #members()} does not lock.
 */
public final class Membership {

	private final Map<Address, Instance> listed = new HashMap<>();

	private final Map<Address, Linked> linked = new HashMap<>();

	/**
	 * By address, the run id of the last process that announced that it is draining.
	 */
	private final Map<Address, String> draining = new HashMap<>();

	private volatile Members members = Members.NONE;

	private Membership() {
	}

	/**
	 * Returns an empty membership.
	 * @return a new membership
	 */
	public static Membership empty() {
		return new Membership();
	}

	/**
	 * Returns the current snapshot.
	 * @return the latest snapshot
	 */
	public Members members() {
		return this.members;
	}

	/**
	 * Called with the platform's instance list.
	 * @param instances the complete list
	 * @return the new snapshot
	 */
	public synchronized Members instancesListed(Collection<Instance> instances) {
		Objects.requireNonNull(instances, "instances is null");
		this.listed.clear();
		instances.forEach((instance) -> this.listed.put(instance.link(), instance));
		return publish();
	}

	/**
	 * Called when a link to an instance has been established.
	 * @param instance the instance as listed
	 * @param run the run id that the process sent when the link was opened
	 * @param isDraining whether the process announced itself as draining
	 * @return the new snapshot
	 */
	public synchronized Members linkOpened(Instance instance, String run, boolean isDraining) {
		this.linked.put(instance.link(), new Linked(instance, Objects.requireNonNull(run, "run is null")));
		if (isDraining) {
			this.draining.put(instance.link(), run);
		}
		return publish();
	}

	/**
	 * Called when a process announces that it is draining.
	 * @param address the link address of the instance
	 * @param run the run id of the process
	 * @return the new snapshot
	 */
	public synchronized Members drainAnnounced(Address address, String run) {
		this.draining.put(Objects.requireNonNull(address, "address is null"),
				Objects.requireNonNull(run, "run is null"));
		return publish();
	}

	/**
	 * Called when the link to an instance is lost.
	 * @param address the link address of the instance
	 * @return the new snapshot
	 */
	public synchronized Members linkLost(Address address) {
		this.linked.remove(Objects.requireNonNull(address, "address is null"));
		return publish();
	}

	private Members publish() {
		Map<Address, Instance> linkTargets = new HashMap<>(this.listed);
		this.linked.forEach((address, link) -> linkTargets.putIfAbsent(address, link.instance()));
		// Once an address is neither listed nor linked, its last process will not link
		// again, so its draining state can be dropped.
		this.draining.keySet().retainAll(linkTargets.keySet());
		List<Instance> routable = new ArrayList<>();
		this.linked.forEach((address, link) -> {
			Instance listedInstance = this.listed.get(address);
			boolean excluded = link.run().equals(this.draining.get(address))
					|| (listedInstance != null && listedInstance.leaving());
			if (!excluded) {
				routable.add(link.instance());
			}
		});
		this.members = new Members(routable, List.copyOf(linkTargets.values()));
		return this.members;
	}

	private record Linked(Instance instance, String run) {
	}

}
