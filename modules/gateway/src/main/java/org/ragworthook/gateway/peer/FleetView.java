package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.wire.load.LoadReport;

/**
 * Which processes there are and what they do, as far as this one hears.
 */
public final class FleetView {

	/** How long what is put together of reports is used: the time between two. */
	private static final Duration KEPT = Duration.ofMillis(100);

	private final Ticker ticker;

	private final PeerTable peers;

	private final PeerIdentity self;

	private BooleanSupplier storeLost = () -> false;

	private boolean leaving;

	private SlotClaimOrder turns;

	private final Kept<List<String>> runners;

	private final Kept<Set<String>> runs;

	private final Kept<Double> entriesHeard;

	FleetView(Ticker ticker, PeerTable peers, PeerIdentity self) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.turns = SlotClaimOrder.of(self.instance(), List.of());
		this.runners = new Kept<>(ticker, KEPT, this::owners);
		this.runs = new Kept<>(ticker, KEPT, this::runs);
		this.entriesHeard = new Kept<>(ticker, KEPT, () -> (otherEntries() + 1.0) / entries());
	}

	/**
	 * Learns that a report has come.
	 */
	void changed() {
		this.runners.forget();
	}

	/**
	 * Learns that this process will stop, so that it owns no jobs any longer.
	 */
	void leave() {
		this.leaving = true;
		changed();
	}

	boolean leaving() {
		return this.leaving;
	}

	boolean hasLostStore() {
		return this.storeLost.getAsBoolean();
	}

	/**
	 * Returns the turns as they were put together last.
	 * @return the turns
	 */
	SlotClaimOrder lastTurns() {
		return this.turns;
	}

	/**
	 * Sets what tells whether this process has lost the store. It is heard by its peers
	 * all the same; if it counted as the owner of jobs, nobody would list their results.
	 * @param condition whether it has
	 */
	public void storeLost(BooleanSupplier condition) {
		this.storeLost = Objects.requireNonNull(condition, "condition is null");
	}

	/**
	 * Returns how many peers are heard.
	 * @return the counts
	 */
	public PeerView peerView() {
		List<LoadReport> heard = this.peers.fresh();
		int reaching = (int) heard.stream().filter((report) -> !report.getStoreLost()).count();
		return new PeerView(this.peers.all().size(), heard.size(), reaching);
	}

	/**
	 * Returns the processes that run jobs and are heard, this one included if it does.
	 * Those that have lost the store are left out, unless all have: then each goes on
	 * with what it has. Asked for each job many times a second, they are put together
	 * anew once a round, and when a report comes.
	 * @return their names
	 */
	public List<String> jobRunners() {
		return this.runners.value();
	}

	private List<String> owners() {
		RunnerView view = RunnerView.of(this.peers.fresh());
		if (this.self.runsJobs() && !this.leaving) {
			view.add(this.self.instance(), hasLostStore());
		}
		return view.owners();
	}

	/**
	 * Returns the processes that run jobs and that this process hears itself, whether
	 * they reach the store or not, this one included if it does.
	 * @return their names
	 */
	public List<String> liveRunners() {
		Stream<String> heard = this.peers.fresh()
			.stream()
			.filter((report) -> report.getRunsJobs() && !report.getLeaving())
			.map(LoadReport::getInstance);
		boolean self = this.self.runsJobs() && !this.leaving;
		return Stream.concat(heard, Stream.of(this.self.instance()).filter((name) -> self)).toList();
	}

	/**
	 * Returns what all processes that may run jobs tell. One that has never been heard
	 * may be such a process; one that has said that it leaves is none any longer.
	 * @param age how old the newest report of each may be
	 * @return the reports, or empty if one of the processes was not heard in that time
	 */
	public Optional<List<LoadReport>> allRunners(Duration age) {
		return this.peers.allRunners(age);
	}

	/**
	 * Returns the runs of the processes that may own jobs: those that this one hears, and
	 * those that it is told of. They are put together anew once a round.
	 * @return a text for each run
	 */
	public Set<String> runnerRuns() {
		return this.runs.value();
	}

	private Set<String> runs() {
		Set<String> runs = new HashSet<>();
		for (LoadReport report : this.peers.fresh()) {
			if (report.getRunsJobs()) {
				runs.add(report.getInstance() + '@' + report.getStartedMillis() + report.getLeaving()
						+ report.getStoreLost());
			}
			report.getHeardRunnersList().forEach((told) -> runs.add(told.getInstance()));
		}
		runs.add(this.self.instance() + hasLostStore());
		return runs;
	}

	/**
	 * Tells whether this process knows what its peers do; until then it leaves jobs
	 * alone.
	 * @return whether all peers were heard, or have had the time to be
	 */
	public boolean settled() {
		return this.peers.settled();
	}

	/**
	 * Returns how many other processes take callers' requests and are heard. One that
	 * also runs jobs is not counted: reports do not tell whether it takes requests.
	 * @return the entries without this one
	 */
	public int otherEntries() {
		return (int) this.peers.fresh().stream().filter((report) -> !report.getRunsJobs()).count();
	}

	/**
	 * Returns how many processes take callers' requests, as far as is known, silent ones
	 * and this one included.
	 * @return the entries
	 */
	public int entries() {
		return this.peers.entries() + 1;
	}

	/**
	 * Returns which share of all entries is heard, this process included. One that is
	 * known and was never heard counts as an entry.
	 * @return above 0 up to 1
	 */
	public double entriesHeard() {
		return this.entriesHeard.value();
	}

	/**
	 * Returns the turns of the processes that have items waiting. Dealt out to all that
	 * run jobs, slots of processes without work stood empty: 78 were in use while 91
	 * items waited, and 94 with turns among those that want some.
	 * @return the turns among this process and those that are heard now
	 */
	public SlotClaimOrder turns() {
		List<String> runners = Stream
			.concat(Stream.of(this.self.instance()),
					this.peers.fresh().stream().filter(LoadReport::getWantsSlots).map(LoadReport::getInstance))
			.distinct()
			.sorted()
			.toList();
		if (!runners.equals(this.turns.runners())) {
			this.turns = SlotClaimOrder.of(this.self.instance(), runners);
		}
		return this.turns;
	}

}
