package org.ragworthook.gateway.demand;

import java.util.Objects;

import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportSection;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports that states how far a process is behind. Used on the event
 * loop.
 */
public final class PressureReports implements ReportSection {

	private final EntryPressure pressure;

	/** Whether the last report to all peers stated that this process is behind. */
	private boolean reportedBehind;

	private PressureReports(EntryPressure pressure) {
		this.pressure = Objects.requireNonNull(pressure, "pressure is null");
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param pressure tells how far this process is behind
	 */
	public static void attach(LoadExchange exchange, EntryPressure pressure) {
		exchange.add(of(pressure));
	}

	/**
	 * Returns a section whose next report is due when the process falls behind or has
	 * caught up.
	 * @param pressure tells how far this process is behind
	 * @return the section
	 */
	static PressureReports of(EntryPressure pressure) {
		return new PressureReports(pressure);
	}

	@Override
	public boolean hasChanges() {
		return this.pressure.isBehind() != this.reportedBehind;
	}

	@Override
	public void write(LoadReport.Builder report) {
		report.setBehindMillis(this.pressure.isBehind() ? (int) this.pressure.behind().toMillis() : 0);
	}

	@Override
	public void writeToAll(LoadReport.Builder report) {
		this.reportedBehind = this.pressure.isBehind();
	}

	@Override
	public void read(LoadReport report) {
		// Nothing is kept here: the newest report of each peer is, and states the figure.
	}

}
