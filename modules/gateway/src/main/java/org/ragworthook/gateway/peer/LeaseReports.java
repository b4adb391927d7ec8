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
 * Lets a check of the configuration by one process confirm that of its peers.
 * <p>
 * Some reports carry the clock of their sender. A process that has checked tells each
 * peer the time of its check by the peer's own clock: the last reading that it has heard,
 * and what has passed between that and the check. However long a report was on its way,
 * that is no later than the check. A peer takes it only for a configuration that is as
 * new as the checked one. Used on the event loop.
 */
public final class LeaseReports implements ReportPart {

	private static final EventLog LOG = EventLog.of(LeaseReports.class);

	/** How long a check is told of: two reports at least, since one may be lost. */
	static final Duration TOLD = Duration.ofMillis(150);

	/** Age of a peer's last reading from which on it is told of no checks. */
	static final Duration SILENCE = Duration.ofSeconds(6);

	/**
	 * In which part of which period reports carry the clock. A reading is as good when it
	 * is old, and all reports together are most of what processes send.
	 */
	private static final Duration CLOCK_PERIOD = Duration.ofMillis(700);

	private static final Duration CLOCK_TOLD = Duration.ofMillis(100);

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
	 * Adds the checks of a process to its reports.
	 * @param loads its reports
	 * @param lease the lease that checks renew
	 * @param self how this process shows itself
	 * @param ticker the monotonic clock
	 * @param version gives the version of the configuration in force
	 */
	public static void on(LoadExchange loads, ConfigurationLease lease, PeerIdentity self, Ticker ticker,
			LongSupplier version) {
		loads.add(new LeaseReports(lease, self, ticker, version, loads::flush));
	}

	@Override
	public void write(LoadReport.Builder report) {
		long now = this.ticker.nanos();
		if (Math.floorMod(now, CLOCK_PERIOD.toNanos()) < CLOCK_TOLD.toNanos()) {
			report.setClockMicros(Math.floorDiv(now, NANOS_PER_MICRO));
		}
		if (this.checkedNanos.filter((checked) -> now - checked <= TOLD.toNanos()).isPresent()) {
			this.clocks.values().removeIf((clock) -> now - clock.heardNanos > SILENCE.toNanos());
			report.setConfigurationVersion(this.version.getAsLong());
			this.clocks.forEach((peer,
					clock) -> report.addConfirmations(Confirmation.newBuilder()
						.setInstance(peer.hashCode())
						.setStartedMillis(clock.startedMillis)
						.setAtMicros(clock.at(this.checkedNanos.get()))));
		}
	}

	@Override
	public void read(LoadReport report) {
		if (report.hasClockMicros()) {
			this.clocks.merge(report.getInstance(),
					new PeerClock(report.getStartedMillis(), report.getClockMicros(), this.ticker.nanos()),
					PeerClock::later);
		}
		if (report.getConfirmationsCount() > 0 && report.getConfigurationVersion() <= this.version.getAsLong()) {
			int name = this.self.instance().hashCode();
			report.getConfirmationsList()
				.stream()
				.filter((told) -> told.getInstance() == name && told.getStartedMillis() == this.self.startedMillis())
				.forEach((told) -> confirmed(report.getInstance(), told.getAtMicros()));
		}
	}

	private void confirmed(String peer, long micros) {
		long nanos = micros * NANOS_PER_MICRO;
		LOG.debug("configuration_confirmed_by_peer", "peer", peer, "age_ms", (this.ticker.nanos() - nanos) / 1_000_000);
		this.lease.recordConfirmation(nanos);
	}

	/**
	 * A reading of a peer's clock.
	 *
	 * @param startedMillis the peer's run
	 * @param micros its clock when it sent the reading
	 * @param heardNanos the clock of this process when it came
	 */
	private record PeerClock(long startedMillis, long micros, long heardNanos) {

		PeerClock later(PeerClock other) {
			boolean sameRun = other.startedMillis == this.startedMillis;
			boolean newer = sameRun ? other.micros > this.micros : other.startedMillis > this.startedMillis;
			return newer ? other : this;
		}

		/**
		 * Returns a time by the peer's clock.
		 * @param nanos the time by the clock of this process
		 * @return a reading that is no later than that time
		 */
		long at(long nanos) {
			return this.micros + Math.floorDiv(nanos - this.heardNanos, NANOS_PER_MICRO);
		}

	}

}
