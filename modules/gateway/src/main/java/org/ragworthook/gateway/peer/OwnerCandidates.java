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
 * The processes that may own jobs, collected from reports: the live peers that run jobs,
 * and the processes that a live peer reports as live.
 * <p>
 * A network partition may separate processes that run jobs from each other but not from
 * the entries and the store. If each side took the other for dead, both would run all
 * jobs: items would run twice and engines would get twice the load. The reports of
 * entries that receive both sides prevent this.
 */
final class OwnerCandidates {

	/** Whether each candidate reaches the store. */
	private final Map<String, Boolean> reachesStore = new HashMap<>();

	/** The candidates that leave their jobs to others since they have been behind. */
	private final Set<String> sheddingJobs = new HashSet<>();

	private OwnerCandidates() {
	}

	/**
	 * Returns the candidates that reports name.
	 * @param reports the newest report of each live peer
	 * @return the candidates, without this process
	 */
	static OwnerCandidates of(List<LoadReport> reports) {
		OwnerCandidates candidates = new OwnerCandidates();
		Set<String> senders = new HashSet<>();
		for (LoadReport report : reports) {
			senders.add(report.getInstance());
			if (report.getRunsJobs() && !report.getLeaving()) {
				candidates.add(report.getInstance(), report.getStoreLost(), report.getShedsJobs());
			}
		}
		for (LoadReport report : reports) {
			for (HeardRunner runner : report.getHeardRunnersList()) {
				if (!senders.contains(runner.getInstance())) {
					candidates.add(runner.getInstance(), runner.getStoreLost(), runner.getShedsJobs());
				}
			}
		}
		return candidates;
	}

	/**
	 * Adds a candidate.
	 * @param instance the name of the process
	 * @param storeLost whether the process does not reach the store
	 * @param shedsJobs whether the process leaves its jobs to others since it has been
	 * behind
	 */
	void add(String instance, boolean storeLost, boolean shedsJobs) {
		if (shedsJobs) {
			this.sheddingJobs.add(instance);
		}
		this.reachesStore.merge(instance, !storeLost, Boolean::logicalAnd);
	}

	/**
	 * Returns the names of the candidates. Processes that have lost the store are left
	 * out, unless all of them have: then each keeps the jobs it has. Likewise those of
	 * the remaining processes that shed their jobs.
	 * @return the names in alphabetical order
	 */
	List<String> names() {
		List<String> names = new ArrayList<>(this.reachesStore.keySet());
		if (this.reachesStore.containsValue(true)) {
			names.removeIf((name) -> !this.reachesStore.get(name));
		}
		if (!this.sheddingJobs.containsAll(names)) {
			names.removeAll(this.sheddingJobs);
		}
		names.sort(null);
		return names;
	}

}
