package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.wire.load.LoadReport;

/**
 * The known peers and their newest reports. A peer is live while its newest report is
 * recent.
 */
final class PeerTable {

	private static final EventLog LOG = EventLog.of(PeerTable.class);

	/**
	 * Age of its newest report from which a peer is not live. A peer without changes
	 * reports every 400 ms, so several reports in succession have been lost by then.
	 */
	private static final Duration LIVENESS_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * Age of its newest report from which a peer's backlog is not counted: twice the time
	 * until the next owners of the jobs of a stopped process have read them.
	 */
	private static final Duration BACKLOG_TIMEOUT = Duration.ofMillis(5_000);

	/**
	 * How long a process waits after its start for the reports of its peers. When all
	 * processes start at once, entries start 0.6 s after the others, on a third of a
	 * processor, and report within 0.4 s.
	 */
	private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * The most peers that are known by their reports: several times those of the largest
	 * fleet. Each report may state another address, and every peer is sent reports.
	 */
	private static final int MAX_PEERS = 1_000;

	private final Ticker ticker;

	private final long startedNanos;

	private final Map<InetSocketAddress, Peer> peers = new HashMap<>();

	/** Whether each peer was live in the last round, so that changes are logged once. */
	private final Map<InetSocketAddress, Boolean> wasLive = new HashMap<>();

	private boolean allPeersAdded;

	private boolean settled;

	PeerTable(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.startedNanos = ticker.nanos();
	}

	void addPeer(InetSocketAddress address) {
		this.peers.computeIfAbsent(address, Peer::new);
	}

	/**
	 * Called when all processes that the platform lists were added.
	 */
	void allPeersAdded() {
		this.allPeersAdded = true;
	}

	/**
	 * Accepts a report unless a newer one of its sender was accepted before.
	 * @param report the report
	 * @param arrivedNanos the earliest time at which the report can have arrived, a
	 * reading of the ticker
	 * @return the sender, or empty if the report was not accepted, or its sender is not
	 * known and too many are
	 */
	Optional<Peer> accept(LoadReport report, long arrivedNanos) {
		InetSocketAddress from = new InetSocketAddress(report.getHost(), report.getPort());
		if (!this.peers.containsKey(from) && !makeRoom()) {
			return Optional.empty();
		}
		Peer peer = this.peers.computeIfAbsent(from, Peer::new);
		return peer.accept(report, this.ticker.nanos(), arrivedNanos) ? Optional.of(peer) : Optional.empty();
	}

	/**
	 * Makes room for another peer. If there are too many, one that has been silent for
	 * long is forgotten, first of all one that has left: former processes had other
	 * addresses, and would fill the table in time.
	 * @return whether there is room
	 */
	private boolean makeRoom() {
		if (this.peers.size() < MAX_PEERS) {
			return true;
		}
		long since = this.ticker.nanos() - BACKLOG_TIMEOUT.toNanos();
		Optional<Peer> silent = this.peers.values()
			.stream()
			.filter((peer) -> peer.newestReport().isPresent() && peer.reportSince(since).isEmpty())
			.min(Comparator.comparing((Peer peer) -> !peer.newestReport().get().getLeaving())
				.thenComparingLong(Peer::receivedNanos));
		silent.ifPresent((peer) -> {
			this.peers.remove(peer.address());
			this.wasLive.remove(peer.address());
		});
		return silent.isPresent();
	}

	/**
	 * Returns the live peer of a name.
	 * @param instance the peer's name
	 * @return the peer, or empty if no live peer has that name
	 */
	Optional<Peer> live(String instance) {
		return this.peers.values()
			.stream()
			.filter((peer) -> liveReport(peer).filter((report) -> report.getInstance().equals(instance)).isPresent())
			.findFirst();
	}

	Collection<Peer> all() {
		return this.peers.values();
	}

	/**
	 * Returns the newest reports of the live peers.
	 * @return one report of each peer
	 */
	List<LoadReport> liveReports() {
		return this.peers.values().stream().flatMap((peer) -> liveReport(peer).stream()).toList();
	}

	/**
	 * Returns the number of peers, live or not, that may serve callers' requests. A peer
	 * that has never reported may serve them.
	 * @return the number of peers, without those that run jobs or have announced that
	 * they leave
	 */
	int knownEntries() {
		return (int) this.peers.values()
			.stream()
			.filter((peer) -> peer.newestReport().filter((last) -> last.getRunsJobs() || last.getLeaving()).isEmpty())
			.count();
	}

	/**
	 * Returns the newest reports for counting the backlog, also of peers that are no
	 * longer live. The jobs of such a peer are counted here until their next owner counts
	 * them.
	 * @return one report of each peer
	 */
	List<LoadReport> backlogReports() {
		long since = this.ticker.nanos() - BACKLOG_TIMEOUT.toNanos();
		return this.peers.values().stream().flatMap((peer) -> peer.reportSince(since).stream()).toList();
	}

	/**
	 * Returns the newest reports of all peers that may run jobs.
	 * @param maxAge the greatest allowed age of each report, counted from the earliest
	 * time at which it can have arrived
	 * @return the reports, or empty if the newest report of one of the peers is older
	 */
	Optional<List<LoadReport>> runnerReports(Duration maxAge) {
		long since = this.ticker.nanos() - maxAge.toNanos();
		List<LoadReport> reports = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			Optional<LoadReport> newest = peer.newestReport();
			boolean entry = newest.isPresent() && !newest.get().getRunsJobs();
			boolean left = newest.isPresent() && newest.get().getLeaving();
			if (entry || left) {
				continue;
			}
			Optional<LoadReport> recent = peer.reportArrivedSince(since);
			if (recent.isEmpty()) {
				return Optional.empty();
			}
			reports.add(recent.get());
		}
		return Optional.of(reports);
	}

	/**
	 * Returns the newest report of a peer if the peer is live.
	 * @param peer the peer
	 * @return the report, or empty if the peer is not live
	 */
	Optional<LoadReport> liveReport(Peer peer) {
		return peer.reportSince(this.ticker.nanos() - LIVENESS_TIMEOUT.toNanos());
	}

	/**
	 * Logs which peers have become live, or are live no longer, since the last call.
	 */
	void logChanges() {
		for (Peer peer : this.peers.values()) {
			boolean live = liveReport(peer).isPresent();
			Boolean before = this.wasLive.put(peer.address(), live);
			if (before != null && before != live) {
				LOG.info(live ? "peer_heard" : "peer_silent", "peer", peer.address());
			}
		}
	}

	/**
	 * Returns whether this process knows the state of its peers well enough to take jobs.
	 * A process that has just started has received no report. It would take itself for
	 * the only one that runs jobs, read all of them and fill every slot: when three
	 * processes started at once, they began 177 items in 104 slots, and callers' requests
	 * waited behind these for the next seconds.
	 * @return whether all peers have reported, or have had the time to
	 */
	boolean settled() {
		if (!this.settled) {
			long age = this.ticker.nanos() - this.startedNanos;
			boolean allReported = this.allPeersAdded
					&& this.peers.values().stream().allMatch((peer) -> peer.newestReport().isPresent());
			this.settled = allReported || age >= SETTLE_TIMEOUT.toNanos();
			if (this.settled) {
				LOG.info("peers_settled", "all_heard", allReported, "peers", this.peers.size(), "ms", age / 1_000_000);
			}
		}
		return this.settled;
	}

}
