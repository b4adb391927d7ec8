package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportSection;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.SuspectPart;

/**
 * The section of load reports about parts of prompts during whose runs upstreams crashed.
 * Used on the event loop.
 */
public final class PoisonPartReports implements ReportSection {

	/** Parts in one report at most, so that it fits into a datagram. */
	private static final int MAX_PARTS = 100;

	private final PoisonPartDetector detector;

	private PoisonPartReports(PoisonPartDetector detector) {
		this.detector = Objects.requireNonNull(detector, "detector is null");
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param detector detects the parts, from the observations of this process and of its
	 * peers
	 */
	public static void attach(LoadExchange exchange, PoisonPartDetector detector) {
		detector.onObservation(exchange::flush);
		exchange.add(new PoisonPartReports(detector));
	}

	@Override
	public void write(LoadReport.Builder report) {
		this.detector.observations().stream().limit(MAX_PARTS).forEach((part) -> {
			SuspectPart.Builder suspect = SuspectPart.newBuilder()
				.setPart(part.part())
				.setPosition(part.position())
				.addAllCompanions(part.companions());
			part.crashAges()
				.forEach((upstream, age) -> suspect.addUpstreams(upstream).addAgesMillis((int) age.toMillis()));
			part.successAge().ifPresent((age) -> suspect.setSuccessAgeMillis((int) age.toMillis()));
			report.addSuspectParts(suspect);
		});
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
		return new PartObservation(part.getPart(), part.getPosition(), Set.copyOf(part.getCompanionsList()), ages,
				part.hasSuccessAgeMillis() ? Optional.of(Duration.ofMillis(part.getSuccessAgeMillis()))
						: Optional.empty());
	}

}
