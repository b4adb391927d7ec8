package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.RendezvousHash;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.wire.load.LoadReport;

/**
 * The view that this process has of all processes of the fleet, from their load reports.
 * A peer is live while its newest report is recent.
 */
public final class FleetView {

	/** How long values derived from reports are cached: one report interval. */
	private static final Duration CACHE_LIFETIME = Duration.ofMillis(100);

	private final Ticker ticker;

	private final PeerTable peers;

	private final PeerIdentity self;

	private BooleanSupplier storeLost = () -> false;

	private BooleanSupplier shedsJobs = () -> false;

	private BooleanSupplier checksFeeds = () -> false;

	private boolean leaving;

	private SlotClaimOrder slotClaimOrder;

	private final CachedValue<List<String>> ownerCandidates;

	private final CachedValue<Set<String>> runnerStates;

	private final CachedValue<Double> liveEntryFraction;

	FleetView(Ticker ticker, PeerTable peers, PeerIdentity self) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.slotClaimOrder = SlotClaimOrder.of(self.instance(), List.of());
		this.ownerCandidates = new CachedValue<>(ticker, CACHE_LIFETIME, this::findOwnerCandidates);
		this.runnerStates = new CachedValue<>(ticker, CACHE_LIFETIME, this::findRunnerStates);
		this.liveEntryFraction = new CachedValue<>(ticker, CACHE_LIFETIME,
				() -> (liveOtherEntries() + 1.0) / knownEntries());
	}

	/**
	 * Discards the cached owner candidates. Called when a report has been received.
	 */
	void invalidate() {
		this.ownerCandidates.invalidate();
	}

	/**
	 * Called when this process begins to stop: it no longer owns jobs.
	 */
	void leave() {
		this.leaving = true;
		invalidate();
	}

	boolean leaving() {
		return this.leaving;
	}

	boolean hasLostStore() {
		return this.storeLost.getAsBoolean();
	}

	boolean shedsJobs() {
		return this.shedsJobs.getAsBoolean();
	}

	/**
	 * Returns the result of the last call of {@link #slotClaimOrder()}.
	 * @return the order in which processes claim slots
	 */
	SlotClaimOrder lastSlotClaimOrder() {
		return this.slotClaimOrder;
	}

	/**
	 * Sets the supplier of whether this process has lost the store. Its peers still
	 * receive its reports; if it remained the owner of jobs, nobody would publish their
	 * results.
	 * @param condition returns whether the store is lost to this process
	 */
	public void storeLost(BooleanSupplier condition) {
		this.storeLost = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Sets the supplier of whether this process leaves its jobs to others since it has
	 * been behind.
	 * @param condition returns whether the jobs are left to others
	 */
	public void shedsJobs(BooleanSupplier condition) {
		this.shedsJobs = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Sets the supplier of whether this process can check the collections of the platform
	 * for all.
	 * @param condition returns whether the platform answers this process and has listed
	 * the collections
	 */
	public void checksFeeds(BooleanSupplier condition) {
		this.checksFeeds = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Returns whether peers may leave the checks to this process. One that has just
	 * started does not check until it knows its peers.
	 * @return whether this process checks collections if it is chosen
	 */
	boolean checksFeeds() {
		return !this.leaving && settled() && this.checksFeeds.getAsBoolean();
	}

	/**
	 * Returns whether this process checks a collection for all: one of the live processes
	 * that can, by rendezvous hashing. A process of a version that does not check states
	 * so by not stating that it can. A process that stops checks only if nobody else
	 * does.
	 * @param feed the collection's name
	 * @return whether no live peer checks it
	 */
	public boolean checksHere(String feed) {
		if (!this.checksFeeds.getAsBoolean() || !settled()) {
			return false;
		}
		List<String> candidates = this.peers.liveReports()
			.stream()
			.filter((report) -> report.getChecksFeeds() && !report.getLeaving())
			.map(LoadReport::getInstance)
			.collect(Collectors.toCollection(ArrayList::new));
		if (!this.leaving || candidates.isEmpty()) {
			candidates.add(this.self.instance());
		}
		return RendezvousHash.owner(candidates, feed.hashCode()).filter(this.self.instance()::equals).isPresent();
	}

	/**
	 * Returns how many peers are known, live and able to reach the store.
	 * @return the counts
	 */
	public PeerCounts peerCounts() {
		List<LoadReport> live = this.peers.liveReports();
		int reaching = (int) live.stream().filter((report) -> !report.getStoreLost()).count();
		return new PeerCounts(this.peers.all().size(), live.size(), reaching);
	}

	/**
	 * Returns the processes that may own jobs: those that run jobs and are live, or are
	 * live to a peer, and this one if it runs jobs. Processes that have lost the store
	 * are left out, unless all of them have: then each keeps the jobs it has. So are
	 * processes that shed their jobs. The result is cached until a report arrives, for
	 * one report interval at most, since it is asked for each job many times a second.
	 * @return the names of the processes
	 */
	public List<String> ownerCandidates() {
		return this.ownerCandidates.value();
	}

	private List<String> findOwnerCandidates() {
		OwnerCandidates candidates = OwnerCandidates.of(this.peers.liveReports());
		if (this.self.runsJobs() && !this.leaving) {
			candidates.add(this.self.instance(), hasLostStore(), shedsJobs());
		}
		return candidates.names();
	}

	/**
	 * Returns the processes that run jobs and whose reports this process receives itself,
	 * whether or not they reach the store, and this one if it runs jobs.
	 * @return the names of the processes
	 */
	public List<String> liveRunners() {
		Stream<String> live = this.peers.liveReports()
			.stream()
			.filter((report) -> report.getRunsJobs() && !report.getLeaving())
			.map(LoadReport::getInstance);
		boolean self = this.self.runsJobs() && !this.leaving;
		return Stream.concat(live, Stream.of(this.self.instance()).filter((name) -> self)).toList();
	}

	/**
	 * Returns the peers whose reports this process receives itself, without those that
	 * have announced that they leave.
	 * @return the names of the processes
	 */
	public List<String> livePeers() {
		return this.peers.liveReports()
			.stream()
			.filter((report) -> !report.getLeaving())
			.map(LoadReport::getInstance)
			.toList();
	}

	/**
	 * Returns the newest reports of all peers that may run jobs. A peer that has never
	 * reported may run jobs; one that has announced that it leaves does not.
	 * @param maxAge the greatest allowed age of each report
	 * @return the reports, or empty if the newest report of one of the peers is older
	 */
	public Optional<List<LoadReport>> runnerReports(Duration maxAge) {
		return this.peers.runnerReports(maxAge);
	}

	/**
	 * Returns a description of each process that may own jobs, live or live to a peer,
	 * which changes when the process restarts, leaves, loses or regains the store, or
	 * begins or ends to shed its jobs. The result is cached for one report interval.
	 * @return the descriptions
	 */
	public Set<String> runnerStates() {
		return this.runnerStates.value();
	}

	private Set<String> findRunnerStates() {
		Set<String> states = new HashSet<>();
		for (LoadReport report : this.peers.liveReports()) {
			if (report.getRunsJobs()) {
				states.add(report.getInstance() + '@' + report.getStartedMillis() + report.getLeaving()
						+ report.getStoreLost() + report.getShedsJobs());
			}
			report.getHeardRunnersList().forEach((runner) -> states.add(runner.getInstance()));
		}
		states.add(this.self.instance() + hasLostStore() + shedsJobs());
		return states;
	}

	/**
	 * Returns whether this process knows the state of its peers well enough to take jobs.
	 * @return whether all peers have reported, or have had the time to
	 */
	public boolean settled() {
		return this.peers.settled();
	}

	/**
	 * Returns the number of live peers that serve callers' requests. A peer that also
	 * runs jobs is not counted, since reports do not say whether it serves requests.
	 * @return the number of entries other than this process
	 */
	public int liveOtherEntries() {
		return (int) this.peers.liveReports().stream().filter((report) -> !report.getRunsJobs()).count();
	}

	/**
	 * Returns the number of processes known to serve callers' requests, live or not,
	 * including this one. A peer that has never reported counts as an entry.
	 * @return the number of entries
	 */
	public int knownEntries() {
		return this.peers.knownEntries() + 1;
	}

	/**
	 * Returns the share of the known entries that are live, this process included. A peer
	 * that is known and has never reported counts as an entry.
	 * @return a fraction above 0, at most 1
	 */
	public double liveEntryFraction() {
		return this.liveEntryFraction.value();
	}

	/**
	 * Returns the order in which the processes that have items waiting claim slots. An
	 * order among all processes that run jobs left the shares of those without work
	 * unused: 78 slots were in use while 91 items waited, against 94 slots with an order
	 * among the processes that want some.
	 * @return the order among this process and the live peers that want slots
	 */
	public SlotClaimOrder slotClaimOrder() {
		List<String> runners = Stream
			.concat(Stream.of(this.self.instance()),
					this.peers.liveReports().stream().filter(LoadReport::getWantsSlots).map(LoadReport::getInstance))
			.distinct()
			.sorted()
			.toList();
		if (!runners.equals(this.slotClaimOrder.runners())) {
			this.slotClaimOrder = SlotClaimOrder.of(this.self.instance(), runners);
		}
		return this.slotClaimOrder;
	}

}
