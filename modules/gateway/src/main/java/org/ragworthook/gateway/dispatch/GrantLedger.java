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
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * The slots that a dispatcher has given away and that the entries' reports do not count
 * yet. Without it the same slot would be given to everybody who asks until the first
 * request shows up in a report.
 */
final class GrantLedger {

	/**
	 * How long a grant counts without a word of its entry: some tens of times the way
	 * there and back. The entry may be gone, or the datagram lost.
	 */
	static final Duration KEPT = Duration.ofMillis(150);

	private final Ticker ticker;

	private final Map<String, Deque<Grant>> byEntry = new HashMap<>();

	private long last;

	/**
	 * Makes an empty ledger.
	 * @param ticker the time
	 * @param first the number before the first grant's; larger than any that this
	 * instance gave in an earlier run
	 */
	GrantLedger(Ticker ticker, long first) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.last = first;
	}

	/**
	 * Notes a grant.
	 * @param request who asked
	 * @param upstream where its slot is
	 * @return the grant
	 */
	Grant add(SlotRequest request, TrackedUpstream upstream) {
		Grant grant = new Grant(++this.last, request.number(), upstream, this.ticker.nanos());
		this.byEntry.computeIfAbsent(request.entry(), (name) -> new ArrayDeque<>()).addLast(grant);
		upstream.addGranted(1);
		return grant;
	}

	/**
	 * Returns what was granted for a request that is asked for again, as the grant may
	 * have been lost.
	 * @param request the request
	 * @return the grant, or empty if there is none
	 */
	Optional<Grant> find(SlotRequest request) {
		return this.byEntry.getOrDefault(request.entry(), new ArrayDeque<>())
			.stream()
			.filter((grant) -> grant.request() == request.number())
			.findFirst();
	}

	/**
	 * Learns that an entry's loads count its grants.
	 * @param entry the entry
	 * @param through the last grant that they count
	 */
	void seen(String entry, long through) {
		Deque<Grant> grants = this.byEntry.get(entry);
		while (grants != null && !grants.isEmpty() && grants.peekFirst().number() <= through) {
			grants.removeFirst().upstream().addGranted(-1);
		}
	}

	/**
	 * Forgets grants of which nothing was heard for too long.
	 */
	void expire() {
		long before = this.ticker.nanos() - KEPT.toNanos();
		Iterator<Deque<Grant>> all = this.byEntry.values().iterator();
		while (all.hasNext()) {
			Deque<Grant> grants = all.next();
			while (!grants.isEmpty() && grants.peekFirst().nanos() - before <= 0) {
				grants.removeFirst().upstream().addGranted(-1);
			}
			if (grants.isEmpty()) {
				all.remove();
			}
		}
	}

	/**
	 * A slot that was given away.
	 *
	 * @param number grows with each
	 * @param request the entry's number of its request
	 * @param upstream where the slot is
	 * @param nanos when, the ticker's reading
	 */
	record Grant(long number, long request, TrackedUpstream upstream, long nanos) {
	}

}
