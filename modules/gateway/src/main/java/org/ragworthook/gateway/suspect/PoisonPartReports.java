package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportSection;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.SuspectPart;

/**
 * The section of load reports about parts of prompts during whose runs upstreams crashed.
 * Used on the event loop.
 */
public final class PoisonPartReports implements ReportSection {

	/**
	 * Most bytes of the parts with the most crashes, which every report contains, and of
	 * the parts that take turns: as many for those whose crashes were contradicted, which
	 * peers may still refuse, as for all others. While connections are lost for another
	 * reason, hundreds of parts have one crash each; reports to all peers, ten a second,
	 * have to leave most of a link of 15 Mbit/s free.
	 */
	private static final int MAX_GROUP_BYTES = 400;

	/** Tag and length of a part in a report. */
	private static final int PART_OVERHEAD_BYTES = 3;

	/** The same subset of a part's companions is stated by all processes. */
	private static final int MAX_COMPANIONS = 8;

	/**
	 * Time between two reports that observations cause ahead of the periodic ones. The
	 * first crash is reported at once; each of many crashes must not cause a report.
	 */
	private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(100);

	private final PoisonPartDetector detector;

	private final Ticker ticker;

	private final Runnable flush;

	private final Turn contradicted = new Turn();

	private final Turn others = new Turn();

	private long flushedNanos;

	private boolean observedSinceReport;

	private PoisonPartReports(PoisonPartDetector detector, Ticker ticker, Runnable flush) {
		this.detector = Objects.requireNonNull(detector, "detector is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.flush = Objects.requireNonNull(flush, "flush is null");
		this.flushedNanos = ticker.nanos() - MIN_REPORT_INTERVAL.toNanos();
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param detector detects the parts, from the observations of this process and of its
	 * peers
	 * @param ticker the monotonic clock
	 */
	public static void attach(LoadExchange exchange, PoisonPartDetector detector, Ticker ticker) {
		exchange.add(of(detector, ticker, exchange::flush));
	}

	/**
	 * Returns a section that reports new observations of a detector.
	 * @param detector detects the parts
	 * @param ticker the monotonic clock
	 * @param flush sends a report to all peers soon
	 * @return the section
	 */
	static PoisonPartReports of(PoisonPartDetector detector, Ticker ticker, Runnable flush) {
		PoisonPartReports reports = new PoisonPartReports(detector, ticker, flush);
		detector.onObservation(reports::observed);
		return reports;
	}

	private void observed() {
		this.observedSinceReport = true;
		long now = this.ticker.nanos();
		if (now - this.flushedNanos >= MIN_REPORT_INTERVAL.toNanos()) {
			this.flushedNanos = now;
			this.flush.run();
		}
	}

	@Override
	public boolean hasChanges() {
		return this.observedSinceReport || this.contradicted.remaining() || this.others.remaining();
	}

	@Override
	public void write(LoadReport.Builder report) {
		// Only reports to all peers state suspected parts.
	}

	@Override
	public void writeToAll(LoadReport.Builder report) {
		List<PartObservation> all = this.detector.observations();
		List<PartObservation> suspected = all.stream().filter((part) -> !part.crashAges().isEmpty()).toList();
		List<PartObservation> cleared = all.stream().filter((part) -> part.crashAges().isEmpty()).toList();
		int top = addUpToLimit(report, suspected);
		List<PartObservation> rest = suspected.subList(top, suspected.size());
		if (this.observedSinceReport) {
			this.contradicted.restart(cleared.size());
			this.others.restart(rest.size());
		}
		this.observedSinceReport = false;
		this.contradicted.add(report, cleared);
		this.others.add(report, rest);
	}

	/**
	 * Adds parts to a report, as many as the limit of a group allows.
	 * @param report the report
	 * @param parts the parts in the order in which they are added
	 * @return how many were added
	 */
	private static int addUpToLimit(LoadReport.Builder report, List<PartObservation> parts) {
		int bytes = 0;
		int count = 0;
		for (PartObservation part : parts) {
			SuspectPart suspect = suspect(part);
			bytes += suspect.getSerializedSize() + PART_OVERHEAD_BYTES;
			if (bytes > MAX_GROUP_BYTES) {
				break;
			}
			report.addSuspectParts(suspect);
			count++;
		}
		return count;
	}

	private static SuspectPart suspect(PartObservation part) {
		List<Long> companions = Stream
			.concat(Stream.of(part.part()), part.companions().stream().filter((other) -> other != part.part()).sorted())
			.limit(MAX_COMPANIONS)
			.toList();
		SuspectPart.Builder suspect = SuspectPart.newBuilder()
			.setPart(part.part())
			.setPosition(part.position())
			.addAllCompanions(companions)
			.setCompanionsOmitted(part.companionsOmitted() || part.companions().size() > MAX_COMPANIONS);
		part.crashAges().forEach((upstream, age) -> suspect.addUpstreams(upstream).addAgesMillis((int) age.toMillis()));
		part.successAge().ifPresent((age) -> suspect.setSuccessAgeMillis((int) age.toMillis()));
		return suspect.build();
	}

	@Override
	public void read(LoadReport report) {
		this.detector.add(report.getSuspectPartsList().stream().map(PoisonPartReports::observation).toList());
	}

	private static PartObservation observation(SuspectPart part) {
		Map<Integer, Duration> ages = new HashMap<>();
		List<Integer> upstreams = part.getUpstreamsList();
		for (int i = 0; i < Math.min(upstreams.size(), part.getAgesMillisCount()); i++) {
			ages.put(upstreams.get(i), Duration.ofMillis(part.getAgesMillis(i)));
		}
		return new PartObservation(part.getPart(), part.getPosition(), Set.copyOf(part.getCompanionsList()),
				part.getCompanionsOmitted(), ages, part.hasSuccessAgeMillis()
						? Optional.of(Duration.ofMillis(part.getSuccessAgeMillis())) : Optional.empty());
	}

	/**
	 * Parts that take turns, in the order of their keys.
	 */
	private static final class Turn {

		private long last = Long.MIN_VALUE;

		/** Parts that were not written since the last observation. */
		private int remaining;

		boolean remaining() {
			return this.remaining > 0;
		}

		/**
		 * Called when all parts have to be written once more.
		 * @param parts their number
		 */
		void restart(int parts) {
			this.remaining = parts;
		}

		/**
		 * Adds the parts whose turn it is to a report, beginning again after the last
		 * one.
		 * @param report the report
		 * @param parts the parts that take turns now
		 */
		void add(LoadReport.Builder report, List<PartObservation> parts) {
			List<PartObservation> sorted = parts.stream()
				.sorted(Comparator.comparingLong(PartObservation::part))
				.toList();
			List<PartObservation> inTurn = Stream
				.concat(sorted.stream().filter((part) -> part.part() > this.last),
						sorted.stream().filter((part) -> part.part() <= this.last))
				.toList();
			int added = addUpToLimit(report, inTurn);
			this.remaining = Math.max(0, Math.min(this.remaining, parts.size()) - added);
			if (added > 0) {
				this.last = inTurn.get(added - 1).part();
			}
		}

	}

}
