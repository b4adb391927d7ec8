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
 * Tells peers of the results that this process lists, and knows what they tell.
 * <p>
 * Callers read a job that runs several times before there is a result, each time at
 * another entry. Asked of the store, every such read is a call or two; they were a fifth
 * of all calls of a fleet of 43 processes. The owner of the job knows the answer.
 * <p>
 * A position that one entry has shown must not be denied by another one later than a
 * second after that. Whoever lists a segment says so in all its reports from before the
 * write on. So an entry that has heard all processes which may list, within less than
 * that second, knows of every segment that could have been shown so long ago. If one of
 * them is silent the entry asks the store. Used on the event loop.
 */
public final class ListingReports implements ReportPart, PublishedResultsView {

	/**
	 * How old the newest report of a process may be. Quiet processes report each half
	 * second; a report that is lost makes its sender unheard until the next one. Two
	 * tenths of the second are left for reports on their way.
	 */
	static final Duration HEARD = Duration.ofMillis(800);

	/**
	 * Text of job ids in one report, in characters: some hundred jobs, and a datagram of
	 * a tenth of what one may have.
	 */
	private static final int MOST_CHARS = 4_000;

	/** Jobs whose segments are remembered, several times those that run at a time. */
	private static final int REMEMBERED = 20_000;

	private final FleetView fleet;

	private final BooleanSupplier steady;

	private Supplier<List<PublishedResults>> own = List::of;

	private Runnable listener = () -> {
	};

	private final Map<String, Integer> mostTold = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > REMEMBERED;
		}

	};

	ListingReports(FleetView fleet, BooleanSupplier steady) {
		this.fleet = Objects.requireNonNull(fleet, "fleet is null");
		this.steady = Objects.requireNonNull(steady, "steady is null");
	}

	/**
	 * Adds listings to the reports of a process.
	 * @param loads its reports
	 * @param steady whether this process was not paused a moment ago; what came in during
	 * a pause looks fresh and is not
	 * @return what is told of listings
	 */
	public static ListingReports on(LoadExchange loads, BooleanSupplier steady) {
		ListingReports reports = new ListingReports(loads.fleet(), steady);
		loads.add(reports);
		return reports;
	}

	/**
	 * Sets what gives the listings of this process.
	 * @param listings gives them
	 */
	public void own(Supplier<List<PublishedResults>> listings) {
		this.own = Objects.requireNonNull(listings, "listings is null");
	}

	/**
	 * Sets what learns that news has come.
	 * @param reader runs on the event loop
	 */
	public void onNews(Runnable reader) {
		this.listener = Objects.requireNonNull(reader, "reader is null");
	}

	@Override
	public void write(LoadReport.Builder report) {
		int chars = 0;
		for (PublishedResults listing : this.own.get()) {
			chars += listing.jobId().length();
			if (chars > MOST_CHARS) {
				return;
			}
			report.addListings(JobListing.newBuilder()
				.setJob(listing.jobId())
				.setItems(listing.itemCount())
				.setSegments(listing.maxSegments())
				.setAll(listing.authoritative()));
		}
	}

	@Override
	public void read(LoadReport report) {
		if (report.getListingsCount() > 0) {
			report.getListingsList()
				.forEach((told) -> this.mostTold.merge(told.getJob(), told.getSegments(), Math::max));
			this.listener.run();
		}
	}

	@Override
	public Optional<PublishedResults> authoritative(String jobId) {
		if (!this.steady.getAsBoolean()) {
			return Optional.empty();
		}
		return this.fleet.allRunners(HEARD).flatMap((reports) -> authoritative(jobId, reports));
	}

	private Optional<PublishedResults> authoritative(String jobId, List<LoadReport> reports) {
		int segments = this.mostTold.getOrDefault(jobId, 0);
		int items = 0;
		for (PublishedResults listing : this.own.get()) {
			if (listing.jobId().equals(jobId)) {
				segments = Math.max(segments, listing.maxSegments());
				items = listing.authoritative() ? listing.itemCount() : items;
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
