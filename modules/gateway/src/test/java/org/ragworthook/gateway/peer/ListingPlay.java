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
 * A minute of one job under a virtual clock: processes that may run it and entries that
 * show its results hear each other late, lossily or not at all; they are paused, killed
 * and started again, and the store carries out writes whose answer is lost.
 */
final class ListingPlay {

	static final Duration SETTLE = Duration.ofMillis(1_000);

	private static final String JOB = "job";

	private static final long MILLI = 1_000_000;

	private static final int STEP_MILLIS = 10;

	private static final int LENGTH_MILLIS = 60_000;

	private static final int OWNERS = 3;

	private static final int ENTRIES = 3;

	private final Random random;

	/** How many segments a second an owner writes, drawn for each play. */
	private final double writes;

	private final Troubles troubles;

	private final List<Process> processes = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> (one.atMillis != other.atMillis)
			? Long.compare(one.atMillis, other.atMillis) : Long.compare(one.number, other.number));

	/** When each segment was first shown to a caller. */
	private final List<Long> shownMillis = new ArrayList<>();

	private long nowMillis;

	private long number;

	private int storedSegments;

	private int answered;

	private int answeredByNews;

	private Optional<String> denied = Optional.empty();

	private ListingPlay(long seed, Troubles troubles) {
		this.random = new Random(seed);
		this.writes = 0.1 + this.random.nextDouble();
		this.troubles = troubles;
		for (int n = 0; n < OWNERS + ENTRIES; n++) {
			this.processes.add(new Process(n));
		}
	}

	/**
	 * Plays.
	 * @param seed of what happens
	 * @param troubles how often what goes wrong
	 * @return the play after its end
	 */
	static ListingPlay run(long seed, Troubles troubles) {
		ListingPlay play = new ListingPlay(seed, troubles);
		while (play.nowMillis < LENGTH_MILLIS) {
			play.step();
		}
		return play;
	}

	/**
	 * Returns what an entry denied though a caller had been shown it long enough before.
	 * @return a description, or empty if that did not happen
	 */
	Optional<String> denied() {
		return this.denied;
	}

	/**
	 * Returns how many of a thousand reads needed no call of the store.
	 * @return the share
	 */
	int byNewsPerMille() {
		return this.answeredByNews * 1_000 / Math.max(1, this.answered);
	}

	int segments() {
		return this.storedSegments;
	}

	private void step() {
		this.nowMillis += STEP_MILLIS;
		for (Process process : this.processes) {
			process.trouble();
		}
		while (!this.events.isEmpty() && this.events.peek().atMillis <= this.nowMillis) {
			this.events.poll().task.run();
		}
		for (Process process : this.processes) {
			process.act();
		}
	}

	private boolean happens(double perSecond) {
		return this.random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
	}

	private void after(long millis, Runnable task) {
		this.events.add(new Event(this.nowMillis + millis, this.number++, task));
	}

	private long between(long least, long most) {
		return least + (long) (this.random.nextDouble() * (most - least));
	}

	/**
	 * What goes wrong, each in times a second and process.
	 *
	 * @param pauses a process is paused
	 * @param kills a process is killed and started again
	 * @param cuts a process does not hear some of the others, one way
	 * @param losses share of reports that are lost
	 * @param lostAnswers share of writes whose answer is lost
	 */
	record Troubles(double pauses, double kills, double cuts, double losses, double lostAnswers) {
	}

	private record Event(long atMillis, long number, Runnable task) {
	}

	private final class Process {

		private final int place;

		private final boolean owner;

		/** Until when what each of the others sends does not come. */
		private final long[] cutUntil = new long[OWNERS + ENTRIES];

		private final List<LoadReport> kept = new ArrayList<>();

		private long run;

		private long pausedUntil;

		private long downUntil;

		private long wokeMillis = Long.MIN_VALUE / 2;

		private long lastLookMillis;

		private int pauses;

		private long sequence;

		private PeerTable peers;

		private FleetView fleet;

		private ListingReports listings;

		private SimulatedOwner owned;

		Process(int place) {
			this.place = place;
			this.owner = place < OWNERS;
			start();
		}

		private void start() {
			this.run++;
			Ticker ticker = () -> ListingPlay.this.nowMillis * MILLI;
			PeerIdentity self = new PeerIdentity(name(), this.run, address(this.place), this.owner);
			this.peers = new PeerTable(ticker);
			this.fleet = new FleetView(ticker, this.peers, self);
			this.listings = new ListingReports(this.fleet, this::steady);
			this.owned = new SimulatedOwner(JOB, ticker, () -> this.pauses, this.fleet::runnerRuns);
			if (this.owner) {
				this.listings.own(this.owned::publishedResults);
			}
			for (int other = 0; other < OWNERS + ENTRIES; other++) {
				if (other != this.place) {
					this.peers.introduce(new InetSocketAddress("10.0.0." + other, 1));
				}
			}
			this.peers.introduced();
			this.lastLookMillis = ListingPlay.this.nowMillis;
			this.wokeMillis = Long.MIN_VALUE / 2;
		}

		private static Address address(int place) {
			return new Address("10.0.0." + place, 1);
		}

		private String name() {
			return "p-" + this.place;
		}

		private boolean steady() {
			return ListingPlay.this.nowMillis - this.wokeMillis >= 1_000;
		}

		private boolean up() {
			return ListingPlay.this.nowMillis >= this.downUntil && ListingPlay.this.nowMillis >= this.pausedUntil;
		}

		void trouble() {
			Troubles troubles = ListingPlay.this.troubles;
			long now = ListingPlay.this.nowMillis;
			if (up() && happens(troubles.kills)) {
				this.downUntil = now + between(300, 4_000);
				this.kept.clear();
				long mine = this.run;
				after(this.downUntil - now, () -> {
					if (this.run == mine) {
						start();
					}
				});
			}
			else if (up() && happens(troubles.pauses)) {
				this.pausedUntil = now + between(100, 6_000);
			}
			if (happens(troubles.cuts)) {
				this.cutUntil[ListingPlay.this.random.nextInt(OWNERS + ENTRIES)] = now + between(200, 12_000);
			}
		}

		void act() {
			if (!up()) {
				return;
			}
			long now = ListingPlay.this.nowMillis;
			if (now - this.lastLookMillis >= 400) {
				this.pauses++;
				this.wokeMillis = now;
			}
			this.lastLookMillis = now;
			boolean takeFirst = ListingPlay.this.random.nextBoolean();
			if (takeFirst) {
				takeKept();
			}
			if (this.owner) {
				own();
			}
			else if (happens(6)) {
				read();
			}
			if (!takeFirst) {
				takeKept();
			}
			if (now % 100 == 0) {
				send();
			}
		}

		private void takeKept() {
			this.kept.forEach((report) -> this.peers.take(report).ifPresent((peer) -> this.listings.read(report)));
			this.kept.clear();
		}

		private void send() {
			LoadReport.Builder report = LoadReport.newBuilder()
				.setInstance(name())
				.setStartedMillis(this.run)
				.setSequence(++this.sequence)
				.setHost(address(this.place).host())
				.setPort(1)
				.setRunsJobs(this.owner);
			this.listings.write(report);
			this.peers.fresh()
				.stream()
				.filter(LoadReport::getRunsJobs)
				.forEach((heard) -> report.addHeardRunners(HeardRunner.newBuilder().setInstance(heard.getInstance())));
			LoadReport sent = report.build();
			for (Process other : ListingPlay.this.processes) {
				boolean lost = ListingPlay.this.random.nextDouble() < ListingPlay.this.troubles.losses;
				if (other != this && !lost) {
					after(between(1, 60), () -> other.receive(this.place, sent));
				}
			}
		}

		/** Takes a report into the kernel's buffer, which keeps the oldest. */
		private void receive(int from, LoadReport report) {
			long now = ListingPlay.this.nowMillis;
			if (now >= this.cutUntil[from] && now >= this.downUntil && this.kept.size() < 40) {
				this.kept.add(report);
			}
		}

		private void own() {
			boolean mine = RendezvousOwners.of(name(), this.fleet::jobRunners).ownedHere(JOB);
			if (!mine || !this.peers.settled()) {
				this.owned.release();
				return;
			}
			if (this.owned.writing()) {
				return;
			}
			if (!this.owned.ready()) {
				this.owned.onSegmentsRead(ListingPlay.this.storedSegments);
			}
			else if (happens(ListingPlay.this.writes)) {
				write();
			}
		}

		private void write() {
			ListingPlay play = ListingPlay.this;
			SimulatedOwner writer = this.owned;
			int segment = writer.segments();
			writer.beginWrite();
			boolean answerLost = play.random.nextDouble() < play.troubles.lostAnswers;
			long taken = answerLost ? between(2, 6_000) : between(2, 20);
			boolean[] written = new boolean[1];
			after(taken, () -> {
				written[0] = play.storedSegments == segment;
				if (written[0]) {
					play.storedSegments++;
				}
			});
			after(answerLost ? 1_800 : taken + 5, () -> whenUp(() -> writer.endWrite(!answerLost && written[0])));
		}

		private void whenUp(Runnable task) {
			long wait = this.pausedUntil - ListingPlay.this.nowMillis;
			if (wait > 0) {
				after(wait, () -> whenUp(task));
			}
			else {
				task.run();
			}
		}

		private void read() {
			ListingPlay play = ListingPlay.this;
			play.answered++;
			Optional<PublishedResults> sure = this.listings.authoritative(JOB);
			if (sure.isEmpty()) {
				while (play.shownMillis.size() < play.storedSegments) {
					play.shownMillis.add(play.nowMillis);
				}
				return;
			}
			play.answeredByNews++;
			int told = sure.get().maxSegments();
			if (told < play.shownMillis.size() && play.nowMillis - play.shownMillis.get(told) > SETTLE.toMillis()) {
				play.denied = Optional.of(name() + " denies segment " + told + " at " + play.nowMillis
						+ " ms, shown at " + play.shownMillis.get(told) + " ms");
			}
		}

	}

}
