package org.ragworthook.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.time.Ticker;

/**
 * Merges the platform's list of instances with what the links to them say.
 * <p>
 * The list lags and flaps: an instance that has said that it leaves may be listed as live
 * for a long time, and one that serves may be missing for a while. Believing the list
 * alone would send work to an instance that is about to exit, which one notices by
 * requests that fail during every planned stop. So the word of a link goes before the
 * list: an instance that said that it leaves never gets work again, for its identity is
 * not used by another run; one whose link is lost gets none until it is linked again; and
 * one that is linked keeps its place whatever the list says.
 * <p>
 * Changes are few and take a lock; {@link #members()} takes none.
 */
public final class Membership {

	private static final Duration REMEMBERED = Duration.ofMinutes(30);

	private static final int MOST_REMEMBERED = 50_000;

	private final Ticker ticker;

	private final Map<String, Instance> listed = new HashMap<>();

	private final Map<String, Instance> linked = new HashMap<>();

	/** Those that said they leave, with the time at which they were last heard of. */
	private final Map<String, Long> leaving = new HashMap<>();

	private volatile Members members = Members.NONE;

	private Membership(Ticker ticker) {
		this.ticker = ticker;
	}

	/**
	 * Returns a membership without instances.
	 * @param ticker the time
	 * @return a new membership
	 */
	public static Membership of(Ticker ticker) {
		return new Membership(Objects.requireNonNull(ticker, "ticker is null"));
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
	 */
	public synchronized void listed(Collection<Instance> instances) {
		Objects.requireNonNull(instances, "instances is null");
		this.listed.clear();
		instances.forEach((instance) -> this.listed.put(instance.id(), instance));
		forget();
		publish();
	}

	/**
	 * Learns that an instance is linked.
	 * @param instance the instance as it describes itself
	 */
	public synchronized void linked(Instance instance) {
		this.linked.put(instance.id(), instance);
		if (instance.leaving()) {
			this.leaving.put(instance.id(), this.ticker.nanos());
		}
		publish();
	}

	/**
	 * Learns that an instance leaves, by its own word.
	 * @param id the instance
	 */
	public synchronized void leaving(String id) {
		this.leaving.put(Objects.requireNonNull(id, "id is null"), this.ticker.nanos());
		publish();
	}

	/**
	 * Learns that the link to an instance is lost.
	 * @param id the instance
	 */
	public synchronized void lost(String id) {
		this.linked.remove(Objects.requireNonNull(id, "id is null"));
		publish();
	}

	private void forget() {
		long now = this.ticker.nanos();
		this.leaving.replaceAll((id, heard) -> (this.listed.containsKey(id) || this.linked.containsKey(id))
				? Long.valueOf(now) : heard);
		this.leaving.values().removeIf((heard) -> now - heard > REMEMBERED.toNanos());
		if (this.leaving.size() > MOST_REMEMBERED) {
			this.leaving.keySet().removeIf((id) -> !this.listed.containsKey(id) && !this.linked.containsKey(id));
		}
	}

	private void publish() {
		List<Instance> routable = new ArrayList<>();
		List<Instance> wanted = new ArrayList<>();
		Set<String> ids = new HashSet<>(this.listed.keySet());
		ids.addAll(this.linked.keySet());
		for (String id : ids) {
			Instance inList = this.listed.get(id);
			boolean gone = this.leaving.containsKey(id) || (inList != null && inList.leaving());
			if (!gone) {
				Instance instance = this.linked.getOrDefault(id, inList);
				wanted.add(instance);
				if (this.linked.containsKey(id)) {
					routable.add(instance);
				}
			}
		}
		this.members = new Members(routable, wanted);
	}

}
