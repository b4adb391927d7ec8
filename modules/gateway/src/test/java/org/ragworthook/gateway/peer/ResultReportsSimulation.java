package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.job.PublishedResults;
import org.ragworthook.gateway.job.SimulatedOwner;
import org.ragworthook.wire.load.HeardRunner;
import org.ragworthook.wire.load.LoadReport;

/**
 * Simulates one minute of one job under a virtual clock. Processes that may run the job
 * and entries that show its results exchange reports, which are delayed or lost. Links
 * fail, processes are paused, killed and restarted, and the store carries out writes
 * whose answer is lost.
 */
final class ResultReportsSimulation {

	/** How long after a segment was first shown an entry may still answer without it. */
	static final Duration MAX_STALENESS = Duration.ofMillis(1_000);

	private static final String JOB = "job";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int STEP_MILLIS = 10;

	private static final int DURATION_MILLIS = 60_000;

	private static final int OWNERS = 3;

	private static final int ENTRIES = 3;

	private final Random random;

	/** Segments that an owner writes per second, drawn for each simulation. */
	private final double writesPerSecond;

	private final FaultRates faults;

	private final List<Process> processes = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> (one.atMillis != other.atMillis)
			? Long.compare(one.atMillis, other.atMillis) : Long.compare(one.sequence, other.sequence));

	/** When each segment was first shown to a caller. */
	private final List<Long> shownMillis = new ArrayList<>();

	private long nowMillis;

	private long eventSequence;

	private int storedSegments;

	private int reads;

	private int answeredFromReports;

	private Optional<String> violation = Optional.empty();

	private ResultReportsSimulation(long seed, FaultRates faults) {
		this.random = new Random(seed);
		this.writesPerSecond = 0.1 + this.random.nextDouble();
		this.faults = faults;
		for (int n = 0; n < OWNERS + ENTRIES; n++) {
			this.processes.add(new Process(n));
		}
	}

	/**
	 * Runs a simulation.
	 * @param seed the seed of all random decisions
	 * @param faults how often each kind of fault occurs
	 * @return the finished simulation
	 */
	static ResultReportsSimulation run(long seed, FaultRates faults) {
		ResultReportsSimulation simulation = new ResultReportsSimulation(seed, faults);
		while (simulation.nowMillis < DURATION_MILLIS) {
			simulation.step();
		}
		return simulation;
	}

	/**
	 * Returns the last answer of an entry without a segment that a caller had been shown
	 * more than a second before.
	 * @return a description, or empty if there was none
	 */
	Optional<String> violation() {
		return this.violation;
	}

	/**
	 * Returns the share of the entries' reads that were answered from reports, without a
	 * call of the store.
	 * @return the share in thousandths
	 */
	int answeredFromReportsPerMille() {
		return this.answeredFromReports * 1_000 / Math.max(1, this.reads);
	}

	int segments() {
		return this.storedSegments;
	}

	private void step() {
		this.nowMillis += STEP_MILLIS;
		for (Process process : this.processes) {
			process.injectFaults();
		}
		while (!this.events.isEmpty() && this.events.peek().atMillis <= this.nowMillis) {
			this.events.poll().task.run();
		}
		for (Process process : this.processes) {
			process.act();
		}
	}

	private boolean occurs(double perSecond) {
		return this.random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
	}

	private void after(long millis, Runnable task) {
		this.events.add(new Event(this.nowMillis + millis, this.eventSequence++, task));
	}

	private long between(long least, long most) {
		return least + (long) (this.random.nextDouble() * (most - least));
	}

	/**
	 * How often each kind of fault occurs.
	 *
	 * @param pauses pauses per second of each process
	 * @param kills kills per second of each process, each followed by a restart
	 * @param cuts link failures per second of each process: for a while it receives no
	 * reports from one of the others
	 * @param losses the share of reports that are lost
	 * @param lostAnswers the share of writes whose answer is lost
	 * @param backlogs times per second at which each process begins to read reports late:
	 * for a while they wait in its socket, though it goes on serving requests
	 */
	record FaultRates(double pauses, double kills, double cuts, double losses, double lostAnswers, double backlogs) {
	}

	private record Arrival(long atMillis, LoadReport report) {
	}

	private record Event(long atMillis, long sequence, Runnable task) {
	}

	private final class Process {

		private final int index;

		private final boolean runsJobs;

		/** The end of the link failure from each of the other processes. */
		private final long[] cutUntilMillis = new long[OWNERS + ENTRIES];

		private final List<Arrival> socketBuffer = new ArrayList<>();

		private long backlogMillis;

		private long backloggedUntilMillis;

		/** All reports that arrived before this time were read. */
		private long drainedMillis;

		private long run;

		private long pausedUntilMillis;

		private long downUntilMillis;

		private long wokeMillis = Long.MIN_VALUE / 2;

		private long lastActiveMillis;

		private int pauses;

		private long sequence;

		private PeerTable peers;

		private FleetView fleet;

		private ResultReports reports;

		private SimulatedOwner job;

		Process(int index) {
			this.index = index;
			this.runsJobs = index < OWNERS;
			start();
		}

		private void start() {
			this.run++;
			Ticker ticker = () -> ResultReportsSimulation.this.nowMillis * NANOS_PER_MILLI;
			PeerIdentity self = new PeerIdentity(name(), this.run, address(this.index), this.runsJobs);
			this.peers = new PeerTable(ticker);
			this.fleet = new FleetView(ticker, this.peers, self);
			this.reports = new ResultReports(this.fleet, this::stable);
			this.job = new SimulatedOwner(JOB, ticker, () -> this.pauses, this.fleet::runnerStates);
			if (this.runsJobs) {
				this.reports.ownResults(this.job::publishedResults);
			}
			for (int other = 0; other < OWNERS + ENTRIES; other++) {
				if (other != this.index) {
					this.peers.addPeer(new InetSocketAddress("10.0.0." + other, 1));
				}
			}
			this.peers.allPeersAdded();
			this.lastActiveMillis = ResultReportsSimulation.this.nowMillis;
			this.wokeMillis = Long.MIN_VALUE / 2;
		}

		private static Address address(int index) {
			return new Address("10.0.0." + index, 1);
		}

		private String name() {
			return "p-" + this.index;
		}

		private boolean stable() {
			return ResultReportsSimulation.this.nowMillis - this.wokeMillis >= 1_000;
		}

		private boolean up() {
			return ResultReportsSimulation.this.nowMillis >= this.downUntilMillis
					&& ResultReportsSimulation.this.nowMillis >= this.pausedUntilMillis;
		}

		void injectFaults() {
			FaultRates faults = ResultReportsSimulation.this.faults;
			long now = ResultReportsSimulation.this.nowMillis;
			if (up() && occurs(faults.kills)) {
				this.downUntilMillis = now + between(300, 4_000);
				this.socketBuffer.clear();
				long killedRun = this.run;
				after(this.downUntilMillis - now, () -> {
					if (this.run == killedRun) {
						start();
					}
				});
			}
			else if (up() && occurs(faults.pauses)) {
				this.pausedUntilMillis = now + between(100, 6_000);
			}
			if (faults.backlogs > 0 && occurs(faults.backlogs)) {
				this.backlogMillis = between(100, 3_000);
				this.backloggedUntilMillis = now + between(1_000, 5_000);
			}
			if (occurs(faults.cuts)) {
				this.cutUntilMillis[ResultReportsSimulation.this.random.nextInt(OWNERS + ENTRIES)] = now
						+ between(200, 12_000);
			}
		}

		void act() {
			if (!up()) {
				return;
			}
			long now = ResultReportsSimulation.this.nowMillis;
			if (now - this.lastActiveMillis >= 400) {
				this.pauses++;
				this.wokeMillis = now;
			}
			this.lastActiveMillis = now;
			boolean receiveFirst = ResultReportsSimulation.this.random.nextBoolean();
			if (receiveFirst) {
				receiveBuffered();
			}
			if (this.runsJobs) {
				runJob();
			}
			else if (occurs(6)) {
				read();
			}
			if (!receiveFirst) {
				receiveBuffered();
			}
			if (now % 100 == 0) {
				send();
			}
		}

		private void receiveBuffered() {
			long now = ResultReportsSimulation.this.nowMillis;
			long delay = (now < this.backloggedUntilMillis) ? this.backlogMillis : 0;
			List<Arrival> read = this.socketBuffer.stream()
				.filter((arrival) -> arrival.atMillis <= now - delay)
				.toList();
			this.socketBuffer.removeAll(read);
			read.forEach((arrival) -> this.peers.accept(arrival.report, this.drainedMillis * NANOS_PER_MILLI)
				.ifPresent((peer) -> this.reports.read(arrival.report)));
			if (this.socketBuffer.isEmpty()) {
				this.drainedMillis = now;
			}
		}

		private void send() {
			LoadReport.Builder report = LoadReport.newBuilder()
				.setInstance(name())
				.setStartedMillis(this.run)
				.setSequence(++this.sequence)
				.setHost(address(this.index).host())
				.setPort(1)
				.setRunsJobs(this.runsJobs);
			this.reports.write(report);
			this.peers.liveReports()
				.stream()
				.filter(LoadReport::getRunsJobs)
				.forEach((live) -> report.addHeardRunners(HeardRunner.newBuilder().setInstance(live.getInstance())));
			LoadReport sent = report.build();
			for (Process other : ResultReportsSimulation.this.processes) {
				boolean lost = ResultReportsSimulation.this.random
					.nextDouble() < ResultReportsSimulation.this.faults.losses;
				if (other != this && !lost) {
					after(between(1, 60), () -> other.receive(this.index, sent));
				}
			}
		}

		/**
		 * Adds a report to the socket buffer, which drops new reports when it is full.
		 */
		private void receive(int from, LoadReport report) {
			long now = ResultReportsSimulation.this.nowMillis;
			if (now >= this.cutUntilMillis[from] && now >= this.downUntilMillis && this.socketBuffer.size() < 200) {
				this.socketBuffer.add(new Arrival(now, report));
			}
		}

		private void runJob() {
			boolean owned = RendezvousOwners.of(name(), this.fleet::ownerCandidates).ownedHere(JOB);
			if (!owned || !this.peers.settled()) {
				this.job.release();
				return;
			}
			if (this.job.writing()) {
				return;
			}
			if (!this.job.ready()) {
				this.job.onSegmentsRead(ResultReportsSimulation.this.storedSegments);
			}
			else if (occurs(ResultReportsSimulation.this.writesPerSecond)) {
				write();
			}
		}

		private void write() {
			ResultReportsSimulation simulation = ResultReportsSimulation.this;
			SimulatedOwner writer = this.job;
			int segment = writer.segments();
			writer.beginWrite();
			boolean answerLost = simulation.random.nextDouble() < simulation.faults.lostAnswers;
			long writeMillis = answerLost ? between(2, 6_000) : between(2, 20);
			boolean[] written = new boolean[1];
			after(writeMillis, () -> {
				written[0] = simulation.storedSegments == segment;
				if (written[0]) {
					simulation.storedSegments++;
				}
			});
			after(answerLost ? 1_800 : writeMillis + 5, () -> whenUp(() -> writer.endWrite(!answerLost && written[0])));
		}

		private void whenUp(Runnable task) {
			long wait = this.pausedUntilMillis - ResultReportsSimulation.this.nowMillis;
			if (wait > 0) {
				after(wait, () -> whenUp(task));
			}
			else {
				task.run();
			}
		}

		private void read() {
			ResultReportsSimulation simulation = ResultReportsSimulation.this;
			simulation.reads++;
			Optional<PublishedResults> reported = this.reports.authoritative(JOB);
			if (reported.isEmpty()) {
				while (simulation.shownMillis.size() < simulation.storedSegments) {
					simulation.shownMillis.add(simulation.nowMillis);
				}
				return;
			}
			simulation.answeredFromReports++;
			int segments = reported.get().maxSegments();
			if (segments < simulation.shownMillis.size()
					&& simulation.nowMillis - simulation.shownMillis.get(segments) > MAX_STALENESS.toMillis()) {
				simulation.violation = Optional.of(name() + " answers without segment " + segments + " at "
						+ simulation.nowMillis + " ms, first shown at " + simulation.shownMillis.get(segments) + " ms");
			}
		}

	}

}
