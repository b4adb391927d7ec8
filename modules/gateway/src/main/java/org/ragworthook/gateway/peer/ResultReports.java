package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.ragworthook.gateway.job.PublishedResults;
import org.ragworthook.gateway.job.PublishedResultsView;
import org.ragworthook.wire.load.JobListing;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports about the result segments that owners of jobs have
 * published.
 * <p>
 * Callers poll a running job several times before it has a result, each time through
 * another entry. Answered from the store, each poll costs one or two calls; these were a
 * fifth of all store calls of a fleet of 43 processes. The owner of the job knows the
 * answer.
 * <p>
 * A segment that one entry has shown to a caller must not be missing in the answer of
 * another entry more than a second later. The process that publishes a segment includes
 * it in all of its reports from before the write on. So an entry that has a report less
 * than a second old from every process that may publish knows of every segment that can
 * have been shown that long ago. If the report of one of them is older, the entry asks
 * the store. Used on the event loop.
 */
public final class ResultReports implements ReportSection, PublishedResultsView {

	/**
	 * The greatest age of each report that an answer may rest on. Processes without
	 * changes report at least every half second, so one lost report makes answers
	 * unavailable until the next report. 200 ms of the second are left for the
	 * transmission of reports.
	 */
	static final Duration MAX_REPORT_AGE = Duration.ofMillis(800);

	/**
	 * Total length of the job ids in one report, in characters: enough for about a
	 * hundred jobs, at a tenth of the maximum size of a datagram.
	 */
	private static final int MAX_JOB_ID_CHARS = 4_000;

	/** Jobs whose segment count is remembered, several times those that run at a time. */
	private static final int MAX_REMEMBERED_JOBS = 20_000;

	private final FleetView fleet;

	private final BooleanSupplier stable;

	private Supplier<List<PublishedResults>> ownResults = List::of;

	private Runnable listener = () -> {
	};

	/** The greatest segment count reported for each job, least recently used first. */
	private final Map<String, Integer> reportedSegments = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAX_REMEMBERED_JOBS;
		}

	};

	ResultReports(FleetView fleet, BooleanSupplier stable) {
		this.fleet = Objects.requireNonNull(fleet, "fleet is null");
		this.stable = Objects.requireNonNull(stable, "stable is null");
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param stable returns whether this process was not paused recently; reports that
	 * arrived during a pause appear newer than they are
	 * @return the section
	 */
	public static ResultReports attach(LoadExchange exchange, BooleanSupplier stable) {
		ResultReports reports = new ResultReports(exchange.fleet(), stable);
		exchange.add(reports);
		return reports;
	}

	/**
	 * Sets the supplier of the published results of the jobs that this process owns.
	 * @param results returns one element for each job
	 */
	public void ownResults(Supplier<List<PublishedResults>> results) {
		this.ownResults = Objects.requireNonNull(results, "results is null");
	}

	/**
	 * Sets the listener for results that peers have published.
	 * @param reader called on the event loop when a report with published results was
	 * received
	 */
	public void onUpdate(Runnable reader) {
		this.listener = Objects.requireNonNull(reader, "reader is null");
	}

	@Override
	public void write(LoadReport.Builder report) {
		int chars = 0;
		for (PublishedResults results : this.ownResults.get()) {
			chars += results.jobId().length();
			if (chars > MAX_JOB_ID_CHARS) {
				return;
			}
			report.addListings(JobListing.newBuilder()
				.setJob(results.jobId())
				.setItems(results.itemCount())
				.setSegments(results.maxSegments())
				.setAll(results.authoritative()));
		}
	}

	@Override
	public void read(LoadReport report) {
		if (report.getListingsCount() > 0) {
			report.getListingsList()
				.forEach((listing) -> this.reportedSegments.merge(listing.getJob(), listing.getSegments(), Math::max));
			this.listener.run();
		}
	}

	@Override
	public Optional<PublishedResults> authoritative(String jobId) {
		if (!this.stable.getAsBoolean()) {
			return Optional.empty();
		}
		return this.fleet.runnerReports(MAX_REPORT_AGE).flatMap((reports) -> authoritative(jobId, reports));
	}

	private Optional<PublishedResults> authoritative(String jobId, List<LoadReport> reports) {
		int segments = this.reportedSegments.getOrDefault(jobId, 0);
		int items = 0;
		for (PublishedResults results : this.ownResults.get()) {
			if (results.jobId().equals(jobId)) {
				segments = Math.max(segments, results.maxSegments());
				items = results.authoritative() ? results.itemCount() : items;
			}
		}
		for (LoadReport report : reports) {
			for (JobListing listing : report.getListingsList()) {
				if (listing.getAll() && listing.getJob().equals(jobId)) {
					items = listing.getItems();
				}
			}
		}
		return (items > 0) ? Optional.of(new PublishedResults(jobId, items, segments, true)) : Optional.empty();
	}

}
