package org.ragworthook.gateway.dispatch;

import java.util.Objects;
import java.util.Set;

import org.ragworthook.gateway.upstream.PrefixAffinity;

/**
 * A request of an entry for a slot.
 *
 * @param entry the name of the entry
 * @param number the entry's number for it, the same when it asks again
 * @param id the caller's id of it, for the log
 * @param service the service
 * @param failureDomain the entry's failure domain
 * @param except keys of upstreams that are not to be chosen
 * @param prompt where the parts of its prompt are kept
 * @param askedNanos when it was asked for, the ticker's reading
 * @param goalNanos the ticker's reading by which it has to begin to run to be in time
 */
record SlotRequest(String entry, long number, String id, String service, String failureDomain, Set<Integer> except,
		PrefixAffinity prompt, long askedNanos, long goalNanos) {

	SlotRequest {
		Objects.requireNonNull(entry, "entry is null");
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(prompt, "prompt is null");
		except = Set.copyOf(except);
	}

	/**
	 * Tells whether this is the same request, asked for once more.
	 * @param other the other one
	 * @return whether entry and number are the same
	 */
	boolean repeats(SlotRequest other) {
		return this.number == other.number && this.entry.equals(other.entry);
	}

}
