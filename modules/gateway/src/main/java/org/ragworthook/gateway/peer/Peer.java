package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.wire.load.LoadReport;

/**
 * Another process, as its reports show it.
 */
final class Peer {

	private final InetSocketAddress address;

	private LoadReport report;

	private long heardNanos;

	Peer(InetSocketAddress address) {
		this.address = Objects.requireNonNull(address, "address is null");
	}

	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Takes a report unless a newer one was taken. Datagrams may overtake each other.
	 * @param newer the report
	 * @param nowNanos the ticker's reading
	 * @return whether it was taken
	 */
	boolean take(LoadReport newer, long nowNanos) {
		if (this.report != null) {
			boolean sameRun = newer.getStartedMillis() == this.report.getStartedMillis();
			if (newer.getStartedMillis() < this.report.getStartedMillis()
					|| (sameRun && newer.getSequence() <= this.report.getSequence())) {
				return false;
			}
		}
		this.report = newer;
		this.heardNanos = nowNanos;
		return true;
	}

	/**
	 * Returns the newest report, however old.
	 * @return the report, or empty if there is none
	 */
	Optional<LoadReport> newest() {
		return Optional.ofNullable(this.report);
	}

	/**
	 * Returns the newest report.
	 * @param sinceNanos the ticker's reading before which a report is too old
	 * @return the report, or empty if there is none that is new enough
	 */
	Optional<LoadReport> report(long sinceNanos) {
		return (this.report != null && this.heardNanos - sinceNanos >= 0) ? Optional.of(this.report) : Optional.empty();
	}

}
