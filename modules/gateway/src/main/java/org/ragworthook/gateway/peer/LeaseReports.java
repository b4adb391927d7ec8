package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.account.ConfigurationLease;
import org.ragworthook.wire.load.Confirmation;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports by which a successful check of the configuration in one
 * process renews the configuration leases of its peers.
 * <p>
 * Some reports contain a reading of their sender's monotonic clock. A process that has
 * checked the configuration reports to each peer the time of the check by that peer's
 * clock: the peer's last received reading plus the time from its receipt to the check.
 * Since a report takes some time to arrive, the result is never later than the check,
 * whatever the delay. A peer accepts it only if its own configuration is at least as new
 * as the checked one. Used on the event loop.
 */
public final class LeaseReports implements ReportSection {

	private static final EventLog LOG = EventLog.of(LeaseReports.class);

	/**
	 * How long a check is repeated in reports: in two of them at least, since one may be
	 * lost.
	 */
	static final Duration REPEAT_PERIOD = Duration.ofMillis(150);

	/** Age from which a peer's clock reading is discarded and no check reported to it. */
	static final Duration MAX_READING_AGE = Duration.ofSeconds(6);

	/**
	 * Reports contain the clock in the first {@link #CLOCK_WINDOW} of each such period
	 * only: an old reading is as good as a new one, and reports are most of the traffic
	 * between processes.
	 */
	private static final Duration CLOCK_PERIOD = Duration.ofMillis(700);

	private static final Duration CLOCK_WINDOW = Duration.ofMillis(100);

	private static final long NANOS_PER_MICRO = 1_000;

	private final ConfigurationLease lease;

	private final PeerIdentity self;

	private final Ticker ticker;

	private final LongSupplier version;

	private final Map<String, PeerClock> clocks = new HashMap<>();

	private Optional<Long> checkedNanos = Optional.empty();

	LeaseReports(ConfigurationLease lease, PeerIdentity self, Ticker ticker, LongSupplier version, Runnable flush) {
		this.lease = Objects.requireNonNull(lease, "lease is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.version = Objects.requireNonNull(version, "version is null");
		Objects.requireNonNull(flush, "flush is null");
		lease.onCheckSucceeded((nanos) -> {
			this.checkedNanos = Optional.of(nanos);
			flush.run();
		});
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param lease the lease that is renewed by checks of this process and of its peers
	 * @param self the identity of this process
	 * @param ticker the monotonic clock
	 * @param version returns the version of the configuration in force
	 */
	public static void attach(LoadExchange exchange, ConfigurationLease lease, PeerIdentity self, Ticker ticker,
			LongSupplier version) {
		exchange.add(new LeaseReports(lease, self, ticker, version, exchange::flush));
	}

	@Override
	public void write(LoadReport.Builder report) {
		long now = this.ticker.nanos();
		if (Math.floorMod(now, CLOCK_PERIOD.toNanos()) < CLOCK_WINDOW.toNanos()) {
			report.setClockMicros(Math.floorDiv(now, NANOS_PER_MICRO));
		}
		if (this.checkedNanos.filter((checked) -> now - checked <= REPEAT_PERIOD.toNanos()).isPresent()) {
			this.clocks.values().removeIf((clock) -> now - clock.receivedNanos > MAX_READING_AGE.toNanos());
			report.setConfigurationVersion(this.version.getAsLong());
			this.clocks.forEach((peer,
					clock) -> report.addConfirmations(Confirmation.newBuilder()
						.setInstance(peer.hashCode())
						.setStartedMillis(clock.startedMillis)
						.setAtMicros(clock.peerMicros(this.checkedNanos.get()))));
		}
	}

	@Override
	public void read(LoadReport report) {
		if (report.hasClockMicros()) {
			this.clocks.merge(report.getInstance(),
					new PeerClock(report.getStartedMillis(), report.getClockMicros(), this.ticker.nanos()),
					PeerClock::newer);
		}
		if (report.getConfirmationsCount() > 0 && report.getConfigurationVersion() <= this.version.getAsLong()) {
			int name = this.self.instance().hashCode();
			report.getConfirmationsList()
				.stream()
				.filter((confirmation) -> confirmation.getInstance() == name
						&& confirmation.getStartedMillis() == this.self.startedMillis())
				.forEach((confirmation) -> confirmed(report.getInstance(), confirmation.getAtMicros()));
		}
	}

	private void confirmed(String peer, long micros) {
		long nanos = micros * NANOS_PER_MICRO;
		LOG.debug("configuration_confirmed_by_peer", "peer", peer, "age_ms", (this.ticker.nanos() - nanos) / 1_000_000);
		this.lease.recordConfirmation(nanos);
	}

	/**
	 * A reading of a peer's monotonic clock.
	 *
	 * @param startedMillis when the peer's run began, Unix time
	 * @param sentMicros the peer's clock when it sent the reading
	 * @param receivedNanos the clock of this process when the reading was received
	 */
	private record PeerClock(long startedMillis, long sentMicros, long receivedNanos) {

		PeerClock newer(PeerClock other) {
			boolean sameRun = other.startedMillis == this.startedMillis;
			boolean newer = sameRun ? other.sentMicros > this.sentMicros : other.startedMillis > this.startedMillis;
			return newer ? other : this;
		}

		/**
		 * Converts a time to the peer's clock.
		 * @param nanos the time by the clock of this process
		 * @return a time by the peer's clock that is no later, in microseconds
		 */
		long peerMicros(long nanos) {
			return this.sentMicros + Math.floorDiv(nanos - this.receivedNanos, NANOS_PER_MICRO);
		}

	}

}
