package org.ragworthook.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.RouteBacklog;

/**
 * The section of load reports about batch items that wait. A process that runs jobs
 * reports the items of the jobs it owns; an entry reports those of the jobs it has just
 * accepted, which their owners may not have read yet. A job is counted twice while both
 * report it, which at worst rejects a job early and never exceeds the limit.
 */
final class BacklogReports {

	private Supplier<Optional<Map<Integer, Long>>> owned = Optional::empty;

	private Supplier<Map<Integer, Long>> accepted = Map::of;

	/** The accepted backlog that the last report contained. */
	private Map<Integer, Long> lastReported = Map.of();

	/** The accepted backlog that at least two reports in succession contained. */
	private Map<Integer, Long> reportedTwice = Map.of();

	/**
	 * Sets the supplier of the backlog of the jobs that this process owns.
	 * @param backlog returns tokens by the key of route and account, or empty until the
	 * process has read the list of jobs
	 */
	void owned(Supplier<Optional<Map<Integer, Long>>> backlog) {
		this.owned = Objects.requireNonNull(backlog, "backlog is null");
	}

	/**
	 * Sets the supplier of the backlog of the jobs that this process has just accepted.
	 * @param backlog returns tokens by the key of route and account
	 */
	void accepted(Supplier<Map<Integer, Long>> backlog) {
		this.accepted = Objects.requireNonNull(backlog, "backlog is null");
	}

	/**
	 * Returns whether the next report has to be sent for the accepted backlog. Each value
	 * is sent twice, in case the first report is lost.
	 * @return whether the accepted backlog was reported fewer than two times
	 */
	boolean hasChanges() {
		return !this.accepted.get().equals(this.reportedTwice);
	}

	void write(LoadReport.Builder report) {
		Map<Integer, Long> now = this.accepted.get();
		this.reportedTwice = now.equals(this.lastReported) ? now : Map.of();
		this.lastReported = now;
		this.owned.get().ifPresent((backlog) -> {
			report.setBacklogKnown(true);
			backlog.forEach((key, tokens) -> add(report, key, tokens));
		});
		now.forEach((key, tokens) -> add(report, key, tokens));
	}

	private static void add(LoadReport.Builder report, int key, long tokens) {
		report.addBacklogs(RouteBacklog.newBuilder().setRoute(key).setTokens(tokens));
	}

	/**
	 * Returns the total of the peers' backlogs and that of the jobs of this process for
	 * one account on one route.
	 * @param reports the newest report of each peer
	 * @param key the key of route and account
	 * @return the waiting tokens; complete if at least one process runs jobs and each of
	 * those that do has read the list of jobs
	 */
	WaitingTokens sum(List<LoadReport> reports, int key) {
		Optional<Map<Integer, Long>> mine = this.owned.get();
		long tokens = mine.map((backlog) -> backlog.getOrDefault(key, 0L)).orElse(0L);
		boolean anyRunner = mine.isPresent();
		boolean complete = true;
		for (LoadReport report : reports) {
			if (report.getRunsJobs() && !report.getLeaving()) {
				anyRunner = true;
				complete &= report.getBacklogKnown();
			}
			for (RouteBacklog backlog : report.getBacklogsList()) {
				tokens += (backlog.getRoute() == key) ? backlog.getTokens() : 0;
			}
		}
		return new WaitingTokens(anyRunner && complete, tokens);
	}

}
