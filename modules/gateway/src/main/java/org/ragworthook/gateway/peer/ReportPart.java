package org.ragworthook.gateway.peer;

import org.ragworthook.wire.load.LoadReport;

/**
 * What a part of the process tells its peers along with the loads.
 */
public interface ReportPart {

	/**
	 * Tells whether the next round is to send a report though the loads are as before.
	 * @return whether there is news
	 */
	default boolean hasChanges() {
		return false;
	}

	/**
	 * Adds to a report that is about to be sent.
	 * @param report the report
	 */
	void write(LoadReport.Builder report);

	/**
	 * Takes what a peer tells; the loads of the report are known by then.
	 * @param report the report
	 */
	void read(LoadReport report);

}
