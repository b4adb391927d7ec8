package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.ragworthook.core.time.ManualTime;

/**
 * Simulates entries that enforce one account's quota while its callers are spread over
 * them, under a virtual clock. Reports are delayed, lost or cut off by a partition, and
 * entries restart.
 */
final class QuotaSimulation {

	/** Length of the window in which the limit is checked. */
	static final int WINDOW_MILLIS = 5_000;

	private static final int STEP_MILLIS = 5;

	private static final int REPORT_INTERVAL_MILLIS = 100;

	/** When the first callers arrive; all entries start at 0. */
	private static final int TRAFFIC_START_MILLIS = 1_000;

	/** When all entries have started again in a restart of the whole fleet. */
	private static final int RESTART_MILLIS = 9_000;

	/** Time from the start of an entry until it accepts callers. */
	private static final int STARTUP_MILLIS = 300;

	/** Mean time after which a waiting caller returns once the fleet is up again. */
	private static final int MEAN_RETURN_MILLIS = 300;

	/** Maximum time after which a refused caller retries. */
	private static final int MAX_RETRY_WAIT_MILLIS = 1_600;

	/** How long all entries are down in a restart of the whole fleet. */
	private static final int DOWNTIME_MILLIS = 2_500;

	/** Time without a report after which a peer counts as unreachable. */
	private static final int PEER_TIMEOUT_MILLIS = 1_500;

	private final Scenario scenario;

	private final Random random;

	private final ManualTime time = ManualTime.of();

	private final List<Entry> entries = new ArrayList<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong((Delivery delivery) -> delivery.atMillis));

	private final List<Long> sent = new ArrayList<>();

	/** A single bucket of the whole quota that sees every request immediately. */
	private final QuotaLedger reference;

	private Quota quota;

	private long nowMillis;

	private int refused;

	private int refusedWithinQuota;

	/** Callers whose retry was refused as well. */
	private int refusedTwice;

	private final PriorityQueue<Retry> retries = new PriorityQueue<>(Comparator.comparingLong(Retry::atMillis));

	private int requests;

	/** Callers that arrived while all entries were down and have not returned yet. */
	private int waitingCallers;

	QuotaSimulation(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = new Random(seed);
		this.quota = new Quota(scenario.perSecond, scenario.burst);
		this.reference = QuotaLedger.of(this.time, 0, this::accounts, () -> 1, () -> 1, this.random);
		for (int i = 0; i < scenario.entries; i++) {
			this.entries.add(new Entry(i));
		}
	}

	private Accounts accounts() {
		return Accounts.builder().add(account(), List.of()).build();
	}

	private ClientAccount account() {
		return new ClientAccount("acme", Optional.empty(), this.quota);
	}

	Result run(int seconds) {
		for (; this.nowMillis < seconds * 1_000L; this.nowMillis += STEP_MILLIS) {
			injectFaults();
			deliver();
			this.entries.stream().filter(Entry::due).forEach(Entry::report);
			double usualRate = this.scenario.perSecond / 1.6;
			double expected = this.scenario.demand * usualRate * STEP_MILLIS / 1_000;
			int arrivals = (this.nowMillis < TRAFFIC_START_MILLIS) ? 0 : poisson(expected);
			if (isDown()) {
				this.waitingCallers += arrivals;
			}
			else {
				for (int i = 0; i < arrivals; i++) {
					arrive();
				}
				// Callers that waited return within a few tenths of a second.
				for (int remaining = this.waitingCallers; remaining > 0; remaining--) {
					if (this.random.nextInt(MEAN_RETURN_MILLIS / STEP_MILLIS) == 0) {
						this.waitingCallers--;
						arrive();
					}
				}
				while (!this.retries.isEmpty() && this.retries.peek().atMillis <= this.nowMillis) {
					retry(this.retries.remove());
				}
			}
			this.time.advance(Duration.ofMillis(STEP_MILLIS));
		}
		return new Result(this.requests, this.refused, this.refusedWithinQuota, this.refusedTwice, maxInWindow());
	}

	private int poisson(double mean) {
		double limit = Math.exp(-mean);
		int count = 0;
		for (double product = this.random.nextDouble(); product > limit; product *= this.random.nextDouble()) {
			count++;
		}
		return count;
	}

	private void arrive() {
		this.requests++;
		boolean withinQuota = this.reference.tryAcquire(account()).isEmpty();
		Optional<Duration> refusal = send();
		if (refusal.isPresent()) {
			this.refused++;
			this.refusedWithinQuota += withinQuota ? 1 : 0;
			long wait = Math.min(MAX_RETRY_WAIT_MILLIS, refusal.get().toMillis());
			this.retries.add(new Retry(this.nowMillis + wait));
		}
	}

	private void retry(Retry caller) {
		if (send().isPresent()) {
			this.refusedTwice++;
		}
	}

	private Optional<Duration> send() {
		int chosen = this.scenario.balancer.choose(this.random, this.scenario.entries, this.nowMillis);
		while (!this.entries.get(chosen).ready()) {
			chosen = (chosen + 1) % this.scenario.entries;
		}
		Entry entry = this.entries.get(chosen);
		Optional<Duration> refusal = entry.ledger.tryAcquire(account());
		if (refusal.isEmpty()) {
			entry.ledger.recordSent(account());
			this.sent.add(this.nowMillis);
		}
		return refusal;
	}

	private boolean isDown() {
		return this.scenario.fleetRestart && this.nowMillis >= RESTART_MILLIS - DOWNTIME_MILLIS
				&& this.nowMillis < RESTART_MILLIS + STARTUP_MILLIS;
	}

	private void injectFaults() {
		if (this.scenario.fleetRestart && this.nowMillis == RESTART_MILLIS) {
			this.entries.replaceAll((entry) -> new Entry(entry.number));
		}
		if (this.scenario.restartEvery > 0 && this.nowMillis > 0 && this.nowMillis % this.scenario.restartEvery == 0) {
			int which = (int) (this.nowMillis / this.scenario.restartEvery) % this.scenario.entries;
			this.entries.set(which, new Entry(which));
		}
		if (this.scenario.limitChanges && this.nowMillis == 10_000) {
			this.quota = new Quota(this.scenario.perSecond / 2, this.scenario.burst / 2);
		}
	}

	private boolean partitioned(int one, int other) {
		boolean partitionActive = this.nowMillis >= 6_000 && this.nowMillis < 14_000;
		int boundary = (int) (this.scenario.entries * this.scenario.partitionShare);
		return partitionActive && (one < boundary) != (other < boundary);
	}

	private void deliver() {
		while (!this.deliveries.isEmpty() && this.deliveries.peek().atMillis <= this.nowMillis) {
			Delivery delivery = this.deliveries.remove();
			this.entries.get(delivery.to).receive(delivery);
		}
	}

	/**
	 * Returns the maximum number of requests sent in any window.
	 * @return the count
	 */
	private int maxInWindow() {
		return maxInWindowSince(0);
	}

	/**
	 * Returns the maximum number of requests sent in any window from a given time on.
	 * @param millis the earliest start of a window
	 * @return the count
	 */
	int maxInWindowSince(long millis) {
		int max = 0;
		int first = (int) this.sent.stream().takeWhile((at) -> at < millis).count();
		for (int last = first; last < this.sent.size(); last++) {
			while (this.sent.get(last) - this.sent.get(first) > WINDOW_MILLIS) {
				first++;
			}
			max = Math.max(max, last - first + 1);
		}
		return max;
	}

	/** Distributes callers over the entries. */
	interface Balancer {

		int choose(Random random, int entries, long nowMillis);

		static int uniform(Random random, int entries, long nowMillis) {
			return random.nextInt(entries);
		}

		static int single(Random random, int entries, long nowMillis) {
			return 0;
		}

		static int skewed(Random random, int entries, long nowMillis) {
			double draw = random.nextDouble();
			return (int) (entries * draw * draw * draw);
		}

		static int shifting(Random random, int entries, long nowMillis) {
			return (int) (nowMillis / 4_000 + random.nextInt(2)) % entries;
		}

	}

	/** How entries enforce the quota. */
	enum Strategy {

		/** Each entry enforces an equal share and reports nothing. */
		EQUAL_SHARES,

		/** Each entry enforces the whole quota and reports nothing. */
		ALONE,

		/** Each entry enforces the whole quota, less the usage that the others report. */
		REPORTED_USE

	}

	record Scenario(Strategy strategy, int entries, Balancer balancer, double perSecond, double burst, double demand,
			double loss, double partitionShare, int restartEvery, boolean limitChanges, boolean fleetRestart) {

		static Scenario of(Strategy strategy, int entries, Balancer balancer, double demand) {
			return new Scenario(strategy, entries, balancer, 32, 32, demand, 0.01, 0, 0, false, false);
		}

		Scenario withQuota(double perSecond, double burst) {
			return new Scenario(this.strategy, this.entries, this.balancer, perSecond, burst, this.demand, this.loss,
					this.partitionShare, this.restartEvery, this.limitChanges, this.fleetRestart);
		}

		Scenario withFleetRestart() {
			return new Scenario(this.strategy, this.entries, this.balancer, this.perSecond, this.burst, this.demand,
					this.loss, this.partitionShare, this.restartEvery, this.limitChanges, true);
		}

		Scenario withFaults(double loss, double partitionShare, int restartEvery, boolean limitChanges) {
			return new Scenario(this.strategy, this.entries, this.balancer, this.perSecond, this.burst, this.demand,
					loss, partitionShare, restartEvery, limitChanges, this.fleetRestart);
		}

		double allowedInWindow() {
			return (this.perSecond * WINDOW_MILLIS / 1_000 + this.burst) * 1.1 + 20;
		}

	}

	/**
	 * The result of a run.
	 *
	 * @param requests callers that arrived
	 * @param refused callers whose first request was refused
	 * @param refusedWithinQuota those of them whose request was within the quota
	 * @param refusedTwice callers whose retry was refused as well
	 * @param maxInWindow maximum number of requests sent in any window
	 */
	record Result(int requests, int refused, int refusedWithinQuota, int refusedTwice, int maxInWindow) {

		double shareRefusedWithin() {
			return (double) this.refusedWithinQuota / Math.max(1, this.requests);
		}

	}

	private record Retry(long atMillis) {
	}

	private record Delivery(long atMillis, int from, long startedMillis, int to, List<QuotaLedger.Usage> usages) {
	}

	private final class Entry {

		private final int number;

		private final long startedMillis = QuotaSimulation.this.nowMillis;

		private final QuotaLedger ledger;

		private final long[] lastReportMillis = new long[QuotaSimulation.this.scenario.entries];

		private double reachableShare;

		private boolean reportNow;

		Entry(int number) {
			this.number = number;
			this.reachableShare = (QuotaSimulation.this.scenario.strategy == Strategy.ALONE) ? 1
					: 1.0 / QuotaSimulation.this.scenario.entries;
			this.ledger = QuotaLedger.of(QuotaSimulation.this.time, this.startedMillis, QuotaSimulation.this::accounts,
					() -> this.reachableShare, () -> QuotaSimulation.this.scenario.entries,
					QuotaSimulation.this.random);
			this.ledger.onReportDue(() -> this.reportNow = true);
			Arrays.fill(this.lastReportMillis, -PEER_TIMEOUT_MILLIS);
		}

		boolean ready() {
			return QuotaSimulation.this.nowMillis - this.startedMillis >= Math.min(STARTUP_MILLIS, this.startedMillis);
		}

		boolean due() {
			boolean due = this.reportNow || QuotaSimulation.this.nowMillis % REPORT_INTERVAL_MILLIS == 0;
			this.reportNow = false;
			return due;
		}

		void report() {
			if (QuotaSimulation.this.scenario.strategy != Strategy.REPORTED_USE) {
				return;
			}
			List<QuotaLedger.Usage> usages = this.ledger.recentUsage();
			boolean idle = usages.isEmpty() && QuotaSimulation.this.nowMillis % (5 * REPORT_INTERVAL_MILLIS) != 0;
			int reachable = 0;
			for (int other = 0; other < this.lastReportMillis.length; other++) {
				boolean self = other == this.number;
				reachable += (self
						|| QuotaSimulation.this.nowMillis - this.lastReportMillis[other] < PEER_TIMEOUT_MILLIS) ? 1 : 0;
				boolean lost = QuotaSimulation.this.random.nextDouble() < QuotaSimulation.this.scenario.loss;
				if (!idle && !self && !lost && !partitioned(this.number, other)) {
					long at = QuotaSimulation.this.nowMillis + 5 + QuotaSimulation.this.random.nextInt(20);
					QuotaSimulation.this.deliveries
						.add(new Delivery(at, this.number, this.startedMillis, other, usages));
				}
			}
			this.reachableShare = (double) reachable / this.lastReportMillis.length;
		}

		void receive(Delivery delivery) {
			this.lastReportMillis[delivery.from] = QuotaSimulation.this.nowMillis;
			delivery.usages
				.forEach((usage) -> this.ledger.applyPeerUsage("e" + delivery.from, delivery.startedMillis, usage));
		}

	}

}
