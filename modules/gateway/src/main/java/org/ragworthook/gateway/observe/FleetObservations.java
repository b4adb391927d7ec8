package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * What is observed of the upstreams of one service together: their median speed, the
 * fastest and the slowest, and whether these differ so much that requests are placed by
 * expected time. Computed anew at most four times a second, when it is read. Not
 * thread-safe: used on the event loop.
 */
final class FleetObservations {

	private static final EventLog LOG = EventLog.of(FleetObservations.class);

	/** Observations of an upstream from which its speed counts by itself. */
	static final int MIN_SAMPLES = 20;

	/** Observations of all upstreams from which their median counts. */
	private static final int MIN_FLEET_SAMPLES = 5;

	/**
	 * How long the speed of a service may be unknown after its first request, before the
	 * timeouts for fast upstreams apply: six events of a stream with gaps of 0.8 s.
	 */
	private static final long LEARNING_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long REFRESH_NANOS = Duration.ofMillis(250).toNanos();

	/**
	 * Known upstreams for each further interval between refreshes. 11,000 take about 50
	 * ms if all are in use here, and are computed every 3 s.
	 */
	private static final int UPSTREAMS_PER_INTERVAL = 1_000;

	/**
	 * Number of upstreams above which the lowest and the highest gap are ignored: the
	 * more are compared, the more likely one of the estimates is wrong.
	 */
	private static final int MAX_COMPARED_EXACTLY = 10;

	private static final double MICROS_PER_MILLI = 1_000;

	private static final long NEVER = Long.MIN_VALUE;

	private final String service;

	private final Ticker ticker;

	private final Supplier<List<TrackedUpstream>> upstreams;

	private final Function<TrackedUpstream, UpstreamObservations> observations;

	private final IntSupplier knownUpstreams;

	private final Map<TrackedUpstream, SpeedEstimate> estimates = new HashMap<>();

	/** The upstreams whose speeds are compared. */
	private final Set<TrackedUpstream> comparable = new HashSet<>();

	/**
	 * The last times to the first event at upstreams out of use. Few requests are sent
	 * there, and the median of the others would put them back into use.
	 */
	private final Map<TrackedUpstream, OptionalDouble> lastFirstEvents = new HashMap<>();

	private LoadEffect effect = LoadEffect.NONE;

	private ServiceTimes times = ServiceTimes.UNKNOWN;

	private OptionalDouble medianGapMicros = OptionalDouble.empty();

	private OptionalDouble fastestGapMicros = OptionalDouble.empty();

	private OptionalDouble slowestGapMicros = OptionalDouble.empty();

	private int observedUpstreams;

	private double failureShare;

	private final Unevenness unevenness = new Unevenness();

	private long firstUseNanos = NEVER;

	private long refreshedNanos = NEVER;

	private long refreshIntervalNanos = REFRESH_NANOS;

	/**
	 * Creates observations.
	 * @param service the service
	 * @param ticker the monotonic clock
	 * @param upstreams gives the upstreams that serve it
	 * @param observations gives the observations of an upstream, or {@code null}
	 * @param knownUpstreams gives the number of upstreams of all services
	 */
	FleetObservations(String service, Ticker ticker, Supplier<List<TrackedUpstream>> upstreams,
			Function<TrackedUpstream, UpstreamObservations> observations, IntSupplier knownUpstreams) {
		this.service = Objects.requireNonNull(service, "service is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
		this.observations = Objects.requireNonNull(observations, "observations is null");
		this.knownUpstreams = Objects.requireNonNull(knownUpstreams, "knownUpstreams is null");
	}

	/** Called when a request is sent to an upstream of the service. */
	void used() {
		if (this.firstUseNanos == NEVER) {
			this.firstUseNanos = this.ticker.nanos();
		}
	}

	/**
	 * Returns the usual times of the upstreams. They are kept while nothing is observed.
	 * @return the times
	 */
	ServiceTimes times() {
		refresh();
		return this.times;
	}

	/**
	 * Returns whether the slowest and the fastest upstream differ by a factor of 1.5 and
	 * by 2 ms or more, for 2 s at least.
	 * @return whether they do; false again when it was below 1.4 for 2 s
	 */
	boolean uneven() {
		refresh();
		return this.unevenness.uneven();
	}

	/**
	 * Returns the usual gap of an upstream.
	 * @param upstream the upstream
	 * @param running the number of requests that it runs
	 * @return milliseconds, those of the median upstream if too little was observed, or
	 * empty if nothing is known
	 */
	OptionalDouble gapMillis(TrackedUpstream upstream, int running) {
		refresh();
		SpeedEstimate estimate = this.estimates.getOrDefault(upstream, SpeedEstimate.UNKNOWN);
		OptionalDouble micros = enough(estimate) ? estimate.gapMicros() : this.medianGapMicros;
		double factor = this.effect.factor(LoadEffect.level(running, upstream.descriptor().slots()));
		return scaled(micros, factor / MICROS_PER_MILLI);
	}

	/**
	 * Returns the usual time until the first event of an upstream while a slot is free.
	 * @param upstream the upstream
	 * @return milliseconds; if too little was observed, the last ones of an upstream out
	 * of use and those of the median upstream otherwise; empty if nothing is known
	 */
	OptionalDouble firstEventMillis(TrackedUpstream upstream) {
		refresh();
		OptionalDouble last = this.lastFirstEvents.get(upstream);
		if (last != null && !upstream.inUse()) {
			return scaled(last, 1 / MICROS_PER_MILLI);
		}
		SpeedEstimate estimate = this.estimates.getOrDefault(upstream, SpeedEstimate.UNKNOWN);
		return (estimate.samples() >= MIN_SAMPLES && estimate.firstEventMicros().isPresent())
				? scaled(estimate.firstEventMicros(), 1 / MICROS_PER_MILLI) : this.times.firstEventMillis();
	}

	/**
	 * Returns the share of failed runs at the median upstream.
	 * @return a fraction, 0 if nothing is known
	 */
	double failureShare() {
		refresh();
		return this.failureShare;
	}

	/**
	 * Returns the effect of the load on gaps.
	 * @return the effect
	 */
	LoadEffect effect() {
		refresh();
		return this.effect;
	}

	double medianGapMillis() {
		refresh();
		return gaugeMillis(this.medianGapMicros);
	}

	double fastestGapMillis() {
		refresh();
		return gaugeMillis(this.fastestGapMicros);
	}

	double slowestGapMillis() {
		refresh();
		return gaugeMillis(this.slowestGapMicros);
	}

	int observedUpstreams() {
		refresh();
		return this.observedUpstreams;
	}

	private void refresh() {
		long now = this.ticker.nanos();
		if (this.refreshedNanos != NEVER && now - this.refreshedNanos < this.refreshIntervalNanos) {
			return;
		}
		this.refreshedNanos = now;
		List<TrackedUpstream> serving = this.upstreams.get();
		this.refreshIntervalNanos = REFRESH_NANOS * (1 + this.knownUpstreams.getAsInt() / UPSTREAMS_PER_INTERVAL);
		Map<TrackedUpstream, UpstreamObservations> observed = new HashMap<>();
		for (TrackedUpstream upstream : serving) {
			UpstreamObservations present = this.observations.apply(upstream);
			if (present != null) {
				observed.put(upstream, present);
			}
		}
		this.effect = LoadEffect.of(observed.values(), this.effect, now);
		this.estimates.clear();
		this.comparable.clear();
		observed.forEach((upstream, present) -> {
			SpeedEstimate own = present.ownEstimate(this.effect, now);
			this.estimates.put(upstream, present.estimate(own, now));
			if (present.comparable(own, this.effect, now)) {
				this.comparable.add(upstream);
			}
		});
		keepFirstEvents(serving);
		this.failureShare = usualFailureShare(observed.values(), now);
		summarize(now, observed.values());
	}

	private void keepFirstEvents(List<TrackedUpstream> serving) {
		Map<TrackedUpstream, OptionalDouble> kept = new HashMap<>();
		for (TrackedUpstream upstream : serving) {
			if (!upstream.inUse()) {
				OptionalDouble observed = this.estimates.getOrDefault(upstream, SpeedEstimate.UNKNOWN)
					.firstEventMicros();
				OptionalDouble last = observed.isPresent() ? observed : this.lastFirstEvents.get(upstream);
				if (last != null) {
					kept.put(upstream, last);
				}
			}
		}
		this.lastFirstEvents.clear();
		this.lastFirstEvents.putAll(kept);
	}

	/**
	 * Returns the lower median of the shares of failed runs, so that one of two upstreams
	 * that fails is noticed.
	 * @param observed the observations of the upstreams
	 * @param now the ticker's reading
	 * @return a fraction, 0 if nothing is known
	 */
	private static double usualFailureShare(Collection<UpstreamObservations> observed, long now) {
		double[] shares = observed.stream()
			.flatMapToDouble((each) -> each.failureShare(now).stream())
			.sorted()
			.toArray();
		return (shares.length > 0) ? shares[(shares.length - 1) / 2] : 0;
	}

	private void summarize(long now, Collection<UpstreamObservations> observed) {
		double[] enough = this.estimates.values()
			.stream()
			.filter(FleetObservations::enough)
			.mapToDouble((estimate) -> estimate.gapMicros().getAsDouble())
			.sorted()
			.toArray();
		this.observedUpstreams = enough.length;
		this.fastestGapMicros = (enough.length > 0) ? OptionalDouble.of(enough[0]) : OptionalDouble.empty();
		this.slowestGapMicros = (enough.length > 0) ? OptionalDouble.of(enough[enough.length - 1])
				: OptionalDouble.empty();
		OptionalDouble gap = OptionalDouble.empty();
		if (this.estimates.values().stream().mapToInt(SpeedEstimate::samples).sum() >= MIN_FLEET_SAMPLES) {
			gap = median(this.estimates.values().stream().map(SpeedEstimate::gapMicros).toList());
		}
		if (gap.isPresent()) {
			this.medianGapMicros = gap;
		}
		OptionalDouble first = median(this.estimates.values().stream().map(SpeedEstimate::firstEventMicros).toList());
		OptionalDouble run = median(observed.stream().map((each) -> each.runMicros(now)).toList());
		this.times = new ServiceTimes(scaled(this.medianGapMicros, this.effect.fullFactor() / MICROS_PER_MILLI),
				first.isPresent() ? scaled(first, 1 / MICROS_PER_MILLI) : this.times.firstEventMillis(),
				run.isPresent() ? scaled(run, 1 / MICROS_PER_MILLI) : this.times.runMillis(),
				this.firstUseNanos == NEVER || now - this.firstUseNanos < LEARNING_NANOS);
		updateUnevenness(now);
	}

	private void updateUnevenness(long now) {
		double[] compared = this.estimates.entrySet()
			.stream()
			.filter((entry) -> this.comparable.contains(entry.getKey()) && enough(entry.getValue()))
			.mapToDouble((entry) -> entry.getValue().gapMicros().getAsDouble())
			.sorted()
			.toArray();
		int ignored = (compared.length > MAX_COMPARED_EXACTLY) ? 1 : 0;
		if (compared.length > 1
				&& this.unevenness.update(now, compared[ignored], compared[compared.length - 1 - ignored])) {
			LOG.info("speeds_uneven", "service", this.service, "uneven", this.unevenness.uneven(), "fastest_ms",
					rounded(this.fastestGapMicros), "median_ms", rounded(this.medianGapMicros), "slowest_ms",
					rounded(this.slowestGapMicros), "upstreams", this.observedUpstreams);
		}
	}

	private static boolean enough(SpeedEstimate estimate) {
		return estimate.samples() >= MIN_SAMPLES && estimate.gapMicros().isPresent();
	}

	private static OptionalDouble median(List<OptionalDouble> values) {
		List<Double> present = new ArrayList<>();
		values.forEach((value) -> value.ifPresent(present::add));
		return DecayingMedian.median(present.stream().mapToDouble(Double::doubleValue).toArray());
	}

	private static OptionalDouble scaled(OptionalDouble value, double factor) {
		return value.isPresent() ? OptionalDouble.of(value.getAsDouble() * factor) : OptionalDouble.empty();
	}

	private static double rounded(OptionalDouble micros) {
		return Math.round(micros.orElse(0) / 100) / 10.0;
	}

	private static double gaugeMillis(OptionalDouble micros) {
		return micros.orElse(0) / MICROS_PER_MILLI;
	}

}
