package org.ragworthook.gateway.peer;

import org.ragworthook.wire.load.LoadReport;

/**
 * A section of load reports that a part of the process writes and reads. Its methods are
 * called on the event loop.
 */
public interface ReportSection {

	/**
	 * Returns whether the next round has to send a report although the loads are
	 * unchanged.
	 * @return whether this section has changes to send
	 */
	default boolean hasChanges() {
		return false;
	}

	/**
	 * Writes this section to a report that is about to be sent.
	 * @param report the report
	 */
	void write(LoadReport.Builder report);

	/**
	 * Writes the fields of this section that only reports to all peers contain. A report
	 * to a single peer, such as a request for a slot, is sent for each request of a
	 * caller.
	 * @param report the report
	 */
	default void writeToAll(LoadReport.Builder report) {
	}

	/**
	 * Reads this section from a received report, after its loads were counted. Called for
	 * each report, also for one that arrives out of order, whose loads are not counted.
	 * @param report the report
	 */
	void read(LoadReport report);

}
