package org.ragworthook.gateway.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.wire.load.LoadReport;

/**
 * Another process of the fleet and its newest report.
 */
final class Peer {

	private final InetSocketAddress address;

	private LoadReport report;

	private long receivedNanos;

	private long arrivedNanos;

	Peer(InetSocketAddress address) {
		this.address = Objects.requireNonNull(address, "address is null");
	}

	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Accepts a report unless a newer one was accepted before, since datagrams may arrive
	 * out of order.
	 * @param received the report
	 * @param nowNanos the ticker's reading
	 * @param earliestNanos the ticker's reading before which the report cannot have
	 * arrived
	 * @return whether the report was accepted
	 */
	boolean accept(LoadReport received, long nowNanos, long earliestNanos) {
		if (this.report != null) {
			boolean sameRun = received.getStartedMillis() == this.report.getStartedMillis();
			if (received.getStartedMillis() < this.report.getStartedMillis()
					|| (sameRun && received.getSequence() <= this.report.getSequence())) {
				return false;
			}
		}
		this.report = received;
		this.receivedNanos = nowNanos;
		this.arrivedNanos = earliestNanos;
		return true;
	}

	/**
	 * Returns when the newest report was received.
	 * @return the ticker's reading, 0 if no report was accepted yet
	 */
	long receivedNanos() {
		return this.receivedNanos;
	}

	/**
	 * Returns the newest report, however old.
	 * @return the report, or empty if none was accepted yet
	 */
	Optional<LoadReport> newestReport() {
		return Optional.ofNullable(this.report);
	}

	/**
	 * Returns the newest report if it was received recently.
	 * @param sinceNanos the ticker's reading before which a report is too old
	 * @return the report, or empty if none was received since then
	 */
	Optional<LoadReport> reportSince(long sinceNanos) {
		return (this.report != null && this.receivedNanos - sinceNanos >= 0) ? Optional.of(this.report)
				: Optional.empty();
	}

	/**
	 * Returns the newest report if it cannot have arrived before a given time.
	 * @param sinceNanos the ticker's reading before which a report is too old
	 * @return the report, or empty if it may have arrived before
	 */
	Optional<LoadReport> reportArrivedSince(long sinceNanos) {
		return (this.report != null && this.arrivedNanos - sinceNanos >= 0) ? Optional.of(this.report)
				: Optional.empty();
	}

}
