package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;

/**
 * The requests and items of accounts at the peers, from their load reports. Not
 * thread-safe: used on the event loop.
 * <p>
 * The totals are updated by each report, so that the cost of a report grows with the
 * accounts that it names and not with all accounts or peers.
 */
final class PeerAccountLoads {

	/**
	 * How long a report counts. A peer with requests of accounts reports every 100 ms, so
	 * three reports in succession have been lost by then. Slots of a peer that is gone
	 * would otherwise keep its accounts from slots that are free.
	 */
	static final Duration REPORT_LIFETIME = Duration.ofMillis(400);

	private final Ticker ticker;

	/** The newest report of each peer; the one that was received first comes first. */
	private final Map<String, PeerReport> reports = new LinkedHashMap<>();

	private final Map<Integer, AccountCounts> totals = new HashMap<>();

	PeerAccountLoads(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Replaces the counts of a peer unless a newer report of it was received before.
	 * @param peer the peer's name
	 * @param startedMillis when the peer's run started, in milliseconds of Unix time
	 * @param sequence the number of the report, which grows within a run
	 * @param counts the counts by account tag
	 */
	void replace(String peer, long startedMillis, long sequence, Map<Integer, AccountCounts> counts) {
		PeerReport before = this.reports.get(peer);
		if (before != null && (startedMillis < before.startedMillis
				|| (startedMillis == before.startedMillis && sequence <= before.sequence))) {
			return;
		}
		this.reports.remove(peer);
		this.reports.put(peer, new PeerReport(startedMillis, sequence, this.ticker.nanos(), counts));
		change((before != null) ? before.counts : Map.of(), counts);
	}

	/** Removes the counts of peers whose newest report is too old. */
	void expire() {
		long expiredNanos = this.ticker.nanos() - REPORT_LIFETIME.toNanos();
		Iterator<PeerReport> oldestFirst = this.reports.values().iterator();
		while (oldestFirst.hasNext()) {
			PeerReport report = oldestFirst.next();
			if (report.receivedNanos - expiredNanos > 0) {
				return;
			}
			oldestFirst.remove();
			change(report.counts, Map.of());
		}
	}

	private void change(Map<Integer, AccountCounts> before, Map<Integer, AccountCounts> after) {
		before.forEach((tag, counts) -> add(tag, after.getOrDefault(tag, AccountCounts.NONE).minus(counts)));
		after.forEach((tag, counts) -> add(tag, before.containsKey(tag) ? AccountCounts.NONE : counts));
	}

	private void add(int tag, AccountCounts change) {
		if (!change.equals(AccountCounts.NONE)) {
			AccountCounts total = total(tag).plus(change);
			if (total.equals(AccountCounts.NONE)) {
				this.totals.remove(tag);
			}
			else {
				this.totals.put(tag, total);
			}
		}
	}

	/**
	 * Returns the sum of an account over the peers.
	 * @param tag the account's tag
	 * @return the counts
	 */
	AccountCounts total(int tag) {
		return this.totals.getOrDefault(tag, AccountCounts.NONE);
	}

	/**
	 * Returns the sums of all accounts that peers report.
	 * @return the counts by account tag
	 */
	Map<Integer, AccountCounts> totals() {
		return this.totals;
	}

	/**
	 * Returns the age of the oldest report that counts.
	 * @return the age; 0 if there is no report
	 */
	Duration oldestReportAge() {
		Iterator<PeerReport> oldestFirst = this.reports.values().iterator();
		return oldestFirst.hasNext() ? Duration.ofNanos(this.ticker.nanos() - oldestFirst.next().receivedNanos)
				: Duration.ZERO;
	}

	/**
	 * The newest report of a peer.
	 *
	 * @param startedMillis when the peer's run started, in milliseconds of Unix time
	 * @param sequence the number of the report
	 * @param receivedNanos the ticker's reading when it was received
	 * @param counts the counts by account tag
	 */
	private record PeerReport(long startedMillis, long sequence, long receivedNanos,
			Map<Integer, AccountCounts> counts) {
	}

}
