package org.ragworthook.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.ragworthook.wire.load.HeardRunner;
import org.ragworthook.wire.load.LoadReport;

/**
 * The processes that run jobs, as reports show them: those that are heard, and those that
 * a heard one tells of.
 * <p>
 * A process that is cut off from its peers but not from the entries and the store is
 * alive, and so are they. Taken for dead, each side would run the jobs of the other as
 * well: one notices items that run twice and engines with twice the load.
 */
final class RunnerView {

	/** Whether each process reaches the store. */
	private final Map<String, Boolean> able = new HashMap<>();

	private RunnerView() {
	}

	/**
	 * Returns the view that reports give.
	 * @param reports the newest report of each peer that is heard
	 * @return the view
	 */
	static RunnerView of(List<LoadReport> reports) {
		RunnerView view = new RunnerView();
		Set<String> heard = new HashSet<>();
		for (LoadReport report : reports) {
			heard.add(report.getInstance());
			if (report.getRunsJobs() && !report.getLeaving()) {
				view.add(report.getInstance(), report.getStoreLost());
			}
		}
		for (LoadReport report : reports) {
			for (HeardRunner told : report.getHeardRunnersList()) {
				if (!heard.contains(told.getInstance())) {
					view.add(told.getInstance(), told.getStoreLost());
				}
			}
		}
		return view;
	}

	/**
	 * Adds a process.
	 * @param instance its name
	 * @param storeLost whether it does not reach the store
	 */
	void add(String instance, boolean storeLost) {
		this.able.merge(instance, !storeLost, Boolean::logicalAnd);
	}

	/**
	 * Returns the processes that own jobs. Those that have lost the store are left out,
	 * unless all have: then each goes on with what it has.
	 * @return their names, in order
	 */
	List<String> owners() {
		List<String> reaching = new ArrayList<>(this.able.keySet());
		if (this.able.containsValue(true)) {
			reaching.removeIf((name) -> !this.able.get(name));
		}
		reaching.sort(null);
		return reaching;
	}

}
