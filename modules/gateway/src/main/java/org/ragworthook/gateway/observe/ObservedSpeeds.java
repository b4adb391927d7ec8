package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BiConsumer;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.UpstreamSpeeds;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * What this process observes of the upstreams that it uses, and what its peers report of
 * them. Used on the event loop.
 */
public final class ObservedSpeeds implements UpstreamSpeeds {

	private static final EventLog LOG = EventLog.of(ObservedSpeeds.class);

	private static final long PRUNE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	/** Share of failed runs from which an upstream is avoided. */
	private static final double FAILING_SHARE = 0.75;

	/**
	 * Median share of failed runs in the service from which the cause is not the single
	 * upstream.
	 */
	private static final double MAX_SERVICE_FAILING_SHARE = 0.25;

	/** How long an upstream is avoided whose runs fail. */
	private static final Duration AVOID_FAILING = Duration.ofMillis(1_500);

	private final UpstreamRegistry registry;

	private final Ticker ticker;

	private final GatewayMetrics metrics;

	private final Map<TrackedUpstream, UpstreamObservations> upstreams = new HashMap<>();

	private final Map<String, FleetObservations> services = new HashMap<>();

	private long prunedNanos;

	private ObservedSpeeds(UpstreamRegistry registry, Ticker ticker, GatewayMetrics metrics) {
		this.registry = Objects.requireNonNull(registry, "registry is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
		this.prunedNanos = ticker.nanos();
	}

	/**
	 * Returns speeds without observations.
	 * @param registry the known upstreams
	 * @param ticker the monotonic clock
	 * @param metrics receives gauges for each service that is used
	 * @return new speeds
	 */
	public static ObservedSpeeds empty(UpstreamRegistry registry, Ticker ticker, GatewayMetrics metrics) {
		return new ObservedSpeeds(registry, ticker, metrics);
	}

	/**
	 * Begins to observe an attempt of an online request.
	 * @param upstream the upstream that the request is sent to
	 * @return receives what happens in the attempt
	 */
	public RunObserver observe(TrackedUpstream upstream) {
		return observe(upstream, WorkClass.ONLINE);
	}

	/**
	 * Begins to observe an attempt of a batch item, whose time to the first event does
	 * not count.
	 * @param upstream the upstream that the item is sent to
	 * @return receives what happens in the attempt
	 */
	public RunObserver observeItem(TrackedUpstream upstream) {
		return observe(upstream, WorkClass.BATCH);
	}

	private RunObserver observe(TrackedUpstream upstream, WorkClass work) {
		fleet(upstream.descriptor().service()).used();
		UpstreamObservations observations = observations(upstream);
		return new ObservedRun(upstream, work, observations, this.ticker, () -> failed(upstream, observations));
	}

	/**
	 * Returns the usual times of a service's upstreams.
	 * @param service the service
	 * @return the times, and the timeouts that follow from them
	 */
	public ServiceTimes times(String service) {
		return fleet(service).times();
	}

	@Override
	public OptionalDouble gapMillis(TrackedUpstream upstream, int running) {
		return fleet(upstream.descriptor().service()).gapMillis(upstream, running);
	}

	@Override
	public OptionalDouble firstEventMillis(TrackedUpstream upstream) {
		return fleet(upstream.descriptor().service()).firstEventMillis(upstream);
	}

	@Override
	public boolean uneven(String service) {
		return fleet(service).uneven();
	}

	/**
	 * Records the figures that a peer reports of an upstream.
	 * @param peer hash of the peer's name
	 * @param upstreamKey the upstream's {@link TrackedUpstream#key() key}; an upstream
	 * that is not known to this process is ignored
	 * @param estimate the figures
	 */
	void reported(int peer, int upstreamKey, SpeedEstimate estimate) {
		Optional<TrackedUpstream> upstream = this.registry.byKey(upstreamKey);
		upstream.ifPresent((known) -> observations(known).reported(peer, this.ticker.nanos(), estimate));
	}

	/**
	 * Passes on the estimates of this process, without those of its peers.
	 * @param consumer receives each upstream and its observations
	 */
	void forEachOwn(BiConsumer<TrackedUpstream, UpstreamObservations> consumer) {
		prune();
		this.upstreams.forEach(consumer);
	}

	/**
	 * Returns the effect of the load on the gaps of a service.
	 * @param service the service
	 * @return the effect
	 */
	LoadEffect effect(String service) {
		return fleet(service).effect();
	}

	private UpstreamObservations observations(TrackedUpstream upstream) {
		return this.upstreams.computeIfAbsent(upstream, (added) -> new UpstreamObservations(this.ticker.nanos()));
	}

	private FleetObservations fleet(String service) {
		FleetObservations known = this.services.get(service);
		if (known != null) {
			return known;
		}
		FleetObservations added = new FleetObservations(service, this.ticker, () -> this.registry.serving(service),
				this.upstreams::get, () -> this.registry.all().size());
		this.services.put(service, added);
		this.metrics.serviceGauge("speed.median.gap.ms", service, added, FleetObservations::medianGapMillis);
		this.metrics.serviceGauge("speed.fastest.gap.ms", service, added, FleetObservations::fastestGapMillis);
		this.metrics.serviceGauge("speed.slowest.gap.ms", service, added, FleetObservations::slowestGapMillis);
		this.metrics.serviceGauge("speed.upstreams", service, added, FleetObservations::observedUpstreams);
		return added;
	}

	/**
	 * Avoids an upstream whose runs nearly all fail, while those of the service do not.
	 * It may answer each of them, so that the failures in a row do not show it.
	 * @param upstream the upstream
	 * @param observations what is observed of it
	 */
	private void failed(TrackedUpstream upstream, UpstreamObservations observations) {
		long now = this.ticker.nanos();
		double share = observations.failureShare(now).orElse(0);
		FleetObservations fleet = fleet(upstream.descriptor().service());
		if (share < FAILING_SHARE || fleet.failureShare() >= MAX_SERVICE_FAILING_SHARE) {
			return;
		}
		Duration avoided = fleet.times().pause(AVOID_FAILING);
		if (!upstream.avoided(now)) {
			LOG.info("upstream_avoided", "upstream", upstream, "reason", "failing", "share", share, "ms",
					avoided.toMillis());
		}
		upstream.avoidUntil(now + avoided.toNanos());
	}

	/** Forgets upstreams that are gone, or of which nothing was observed within 10 s. */
	private void prune() {
		long now = this.ticker.nanos();
		if (now - this.prunedNanos < PRUNE_INTERVAL_NANOS) {
			return;
		}
		this.prunedNanos = now;
		this.upstreams.entrySet()
			.removeIf((entry) -> entry.getValue().outdated(now)
					|| this.registry.byKey(entry.getKey().key()).filter(entry.getKey()::equals).isEmpty());
	}

}
