package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportSection;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.UpstreamLoad;

/**
 * The section of load reports about the speed of upstreams. A process that has started a
 * moment ago, or that uses few upstreams, learns the speed of the others from its peers.
 * <p>
 * An upstream's figures are reported once a second while something is observed there, and
 * at once when its gap has changed by a fifth or more. They are part of the reports to
 * all peers only, of which about two contain the same figures. A lost report is made up
 * for a second later. Used on the event loop.
 */
public final class SpeedReports implements ReportSection {

	/** A little longer than the interval of the reports to all peers. */
	private static final long WINDOW_NANOS = Duration.ofMillis(110).toNanos();

	private static final long REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

	/** Upstreams in one report at most, about 300 bytes; the others wait their turn. */
	static final int MAX_UPSTREAMS = 16;

	private static final double EQUAL_WITHIN = 0.2;

	private final ObservedSpeeds speeds;

	private final Ticker ticker;

	private final Map<TrackedUpstream, Reported> reported = new HashMap<>();

	private List<UpstreamLoad> current = List.of();

	private long windowEndNanos;

	SpeedReports(ObservedSpeeds speeds, Ticker ticker) {
		this.speeds = Objects.requireNonNull(speeds, "speeds is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.windowEndNanos = ticker.nanos();
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param speeds the observations of this process, which receive those of its peers
	 * @param ticker the monotonic clock
	 */
	public static void attach(LoadExchange exchange, ObservedSpeeds speeds, Ticker ticker) {
		exchange.add(new SpeedReports(speeds, ticker));
	}

	@Override
	public boolean hasChanges() {
		return !current().isEmpty();
	}

	@Override
	public void write(LoadReport.Builder report) {
		// Reports to single peers are sent for each request, and state no speeds.
	}

	@Override
	public void writeToAll(LoadReport.Builder report) {
		report.addAllLoads(current());
	}

	@Override
	public void read(LoadReport report) {
		int peer = report.getInstance().hashCode();
		for (UpstreamLoad load : report.getLoadsList()) {
			if (load.getSamples() > 0) {
				this.speeds.reported(peer, load.getUpstream(), new SpeedEstimate(stated(load.getGapMicros()),
						stated(load.getFirstEventMicros()), load.getSamples()));
			}
		}
	}

	private static OptionalDouble stated(int micros) {
		return (micros > 0) ? OptionalDouble.of(micros) : OptionalDouble.empty();
	}

	private List<UpstreamLoad> current() {
		long now = this.ticker.nanos();
		if (now - this.windowEndNanos >= 0) {
			this.windowEndNanos = now + WINDOW_NANOS;
			this.current = select(now);
		}
		return this.current;
	}

	private List<UpstreamLoad> select(long now) {
		List<Candidate> candidates = new ArrayList<>();
		Map<TrackedUpstream, Reported> known = new HashMap<>();
		this.speeds.forEachOwn((upstream, observations) -> {
			Reported before = this.reported.get(upstream);
			if (before != null) {
				known.put(upstream, before);
			}
			if (observations.count() != ((before != null) ? before.count() : 0)) {
				LoadEffect effect = this.speeds.effect(upstream.descriptor().service());
				SpeedEstimate own = observations.ownEstimate(effect, now);
				SpeedEstimate estimate = observations.converted(effect, now) ? own
						: new SpeedEstimate(OptionalDouble.empty(), own.firstEventMicros(), own.samples());
				boolean due = before == null || now - before.nanos() >= REPEAT_NANOS || before.differs(estimate);
				if (due && estimate.samples() > 0) {
					candidates.add(new Candidate(upstream, new Reported(now, estimate, observations.count()),
							(before != null) ? now - before.nanos() : Long.MAX_VALUE));
				}
			}
		});
		this.reported.clear();
		this.reported.putAll(known);
		candidates.sort(Comparator.comparingLong(Candidate::ageNanos).reversed());
		List<Candidate> chosen = candidates.subList(0, Math.min(MAX_UPSTREAMS, candidates.size()));
		chosen.forEach((candidate) -> this.reported.put(candidate.upstream(), candidate.reported()));
		return chosen.stream().map(Candidate::load).toList();
	}

	private static int micros(OptionalDouble value) {
		return value.isPresent() ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, value.getAsDouble())) : 0;
	}

	private record Reported(long nanos, SpeedEstimate estimate, long count) {

		boolean differs(SpeedEstimate other) {
			OptionalDouble one = this.estimate.gapMicros();
			OptionalDouble another = other.gapMicros();
			return one.isPresent() != another.isPresent() || (one.isPresent()
					&& Math.abs(one.getAsDouble() - another.getAsDouble()) > EQUAL_WITHIN * one.getAsDouble());
		}

	}

	private record Candidate(TrackedUpstream upstream, Reported reported, long ageNanos) {

		UpstreamLoad load() {
			SpeedEstimate estimate = this.reported.estimate();
			return UpstreamLoad.newBuilder()
				.setUpstream(this.upstream.key())
				.setGapMicros(micros(estimate.gapMicros()))
				.setFirstEventMicros(micros(estimate.firstEventMicros()))
				.setSamples(estimate.samples())
				.build();
		}

	}

}
