package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * The slots that a dispatcher has granted and that the entries' reports do not include
 * yet. Without it, the same slot would be granted to every request until the first one
 * shows up in a report.
 */
final class GrantLedger {

	/**
	 * How long a grant counts while its entry does not confirm it: some tens of round
	 * trips. The entry may be gone, or the datagram lost.
	 */
	static final Duration GRANT_EXPIRY = Duration.ofMillis(150);

	private final Ticker ticker;

	private final AccountLoads loads;

	private final Map<String, Deque<Grant>> byEntry = new HashMap<>();

	private long lastNumber;

	/**
	 * Creates an empty ledger.
	 * @param ticker the monotonic clock
	 * @param loads counts the granted slots of client accounts
	 * @param initialNumber the number before that of the first grant; greater than any
	 * that this instance used in an earlier run
	 */
	GrantLedger(Ticker ticker, AccountLoads loads, long initialNumber) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.loads = Objects.requireNonNull(loads, "loads is null");
		this.lastNumber = initialNumber;
	}

	/**
	 * Adds a grant and counts it as load of the upstream and of the request's account.
	 * @param request the request
	 * @param upstream the upstream of the granted slot
	 * @return the grant
	 */
	Grant add(SlotRequest request, TrackedUpstream upstream) {
		Grant grant = new Grant(++this.lastNumber, request.number(), upstream, this.ticker.nanos(),
				request.terms().tag());
		this.byEntry.computeIfAbsent(request.entry(), (name) -> new ArrayDeque<>()).addLast(grant);
		upstream.addGranted(1);
		this.loads.addGranted(grant.account(), 1);
		return grant;
	}

	private void release(Grant grant) {
		grant.upstream().addGranted(-1);
		this.loads.addGranted(grant.account(), -1);
	}

	/**
	 * Returns the grant of a request that was sent again, since its answer may have been
	 * lost.
	 * @param request the request
	 * @return the grant, or empty if there is none
	 */
	Optional<Grant> find(SlotRequest request) {
		return this.byEntry.getOrDefault(request.entry(), new ArrayDeque<>())
			.stream()
			.filter((grant) -> grant.requestNumber() == request.number())
			.findFirst();
	}

	/**
	 * Removes the grants that the reported loads of an entry include.
	 * @param entry the name of the entry
	 * @param lastGrant the number of the last grant that they include
	 */
	void counted(String entry, long lastGrant) {
		Deque<Grant> grants = this.byEntry.get(entry);
		while (grants != null && !grants.isEmpty() && grants.peekFirst().number() <= lastGrant) {
			release(grants.removeFirst());
		}
	}

	/** Removes grants that were not confirmed in time. */
	void expire() {
		long expiredNanos = this.ticker.nanos() - GRANT_EXPIRY.toNanos();
		Iterator<Deque<Grant>> all = this.byEntry.values().iterator();
		while (all.hasNext()) {
			Deque<Grant> grants = all.next();
			while (!grants.isEmpty() && grants.peekFirst().grantedNanos() - expiredNanos <= 0) {
				release(grants.removeFirst());
			}
			if (grants.isEmpty()) {
				all.remove();
			}
		}
	}

	/**
	 * A granted slot.
	 *
	 * @param number the number of the grant, which increases with each grant
	 * @param requestNumber the entry's number of the request
	 * @param upstream the upstream of the slot
	 * @param grantedNanos the ticker's reading in nanoseconds when the slot was granted
	 * @param account the tag of the request's account
	 */
	record Grant(long number, long requestNumber, TrackedUpstream upstream, long grantedNanos, int account) {
	}

}
