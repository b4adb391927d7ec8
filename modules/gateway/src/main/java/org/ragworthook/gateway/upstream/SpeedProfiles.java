package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Keeps the speed profiles of upstreams up to date while the upstreams of a service
 * differ in speed, and schedules the probes of those that are too slow to be used.
 * Without a difference, upstreams have no profile and are placed on by count. Not
 * thread-safe: used on the event loop.
 */
public final class SpeedProfiles {

	private static final EventLog LOG = EventLog.of(SpeedProfiles.class);

	/** Age up to which profiles are used: a quarter of the time to notice a recovery. */
	private static final long REFRESH_INTERVAL_NANOS = 250_000_000;

	/** Least time between two probes of an upstream. */
	private static final long MIN_PROBE_INTERVAL_NANOS = 500_000_000;

	/**
	 * Spread of the time between probes, so that not all processes send one before they
	 * learn of each other's.
	 */
	private static final long PROBE_SPREAD_NANOS = 500_000_000;

	/** Target of callers whose configuration is not known yet. */
	private static final Duration DEFAULT_LATENCY_TARGET = Duration.ofMillis(300);

	private final Function<String, List<TrackedUpstream>> serving;

	private final UpstreamSpeeds speeds;

	private final Function<String, Optional<Duration>> latencyTarget;

	private final Ticker ticker;

	private final RandomGenerator random;

	private final Map<String, Service> services = new HashMap<>();

	private SpeedProfiles(Builder builder) {
		this.serving = Objects.requireNonNull(builder.serving, "serving is null");
		this.speeds = Objects.requireNonNull(builder.speeds, "speeds is null");
		this.latencyTarget = Objects.requireNonNull(builder.latencyTarget, "latencyTarget is null");
		this.ticker = Objects.requireNonNull(builder.ticker, "ticker is null");
		this.random = Objects.requireNonNull(builder.random, "random is null");
	}

	/**
	 * Returns a builder of profiles.
	 * @return a new builder, with unknown speeds
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Brings the profiles of a service up to date.
	 * @param service the service
	 * @param candidates the upstreams that a request may be placed on
	 * @return whether all of them have a profile, so that the request is placed by
	 * expected time
	 */
	boolean refresh(String service, List<TrackedUpstream> candidates) {
		Service state = this.services.computeIfAbsent(service, (name) -> new Service());
		long now = this.ticker.nanos();
		boolean complete = state.timed
				&& candidates.stream().allMatch((candidate) -> candidate.speedProfile().isPresent());
		if (!state.refreshed || now - state.refreshedNanos >= REFRESH_INTERVAL_NANOS || (state.timed && !complete)) {
			state.refreshed = true;
			state.refreshedNanos = now;
			refresh(service, state, now);
			complete = state.timed && candidates.stream().allMatch((candidate) -> candidate.speedProfile().isPresent());
		}
		return complete;
	}

	private void refresh(String service, Service state, long now) {
		boolean uneven = this.speeds.uneven(service);
		if (!uneven && !state.timed) {
			return;
		}
		List<TrackedUpstream> fleet = this.serving.apply(service);
		Duration target = this.latencyTarget.apply(service).orElse(DEFAULT_LATENCY_TARGET);
		Map<TrackedUpstream, SpeedProfile> profiles = new LinkedHashMap<>();
		if (uneven) {
			fleet.forEach((upstream) -> SpeedProfile.of(upstream, this.speeds, target)
				.ifPresent((profile) -> profiles.put(upstream, profile)));
		}
		boolean timed = uneven && profiles.size() == fleet.size();
		if (timed != state.timed) {
			LOG.info("placement_changed", "service", service, "by", timed ? "time" : "count", "upstreams",
					fleet.size());
		}
		state.timed = timed;
		if (!timed) {
			state.loads.clear();
			state.profiled.forEach((upstream) -> upstream.speedProfile(Optional.empty()));
			state.profiled.clear();
			return;
		}
		state.profiled.stream()
			.filter((upstream) -> !profiles.containsKey(upstream))
			.forEach((upstream) -> upstream.speedProfile(Optional.empty()));
		state.profiled.clear();
		state.profiled.addAll(profiles.keySet());
		Set<TrackedUpstream> slow = SlowUpstreams.among(profiles, target);
		profiles.forEach((upstream, profile) -> {
			logChange(upstream, profile, slow.contains(upstream), target);
			upstream
				.speedProfile(Optional.of(slow.contains(upstream) ? outOfUse(upstream, profile, state, now) : profile));
		});
		state.loads.keySet().retainAll(slow);
	}

	private static void logChange(TrackedUpstream upstream, SpeedProfile profile, boolean slow, Duration target) {
		if (slow == upstream.inUse()) {
			LOG.info(slow ? "upstream_slow" : "upstream_recovered", "upstream", upstream, "first_ms",
					Math.round(profile.firstEventMillis()), "target_ms", target.toMillis());
		}
	}

	private SpeedProfile outOfUse(TrackedUpstream upstream, SpeedProfile profile, Service state, long now) {
		Integer previousLoad = state.loads.put(upstream, upstream.load());
		// A request of any process since the last refresh serves as a probe.
		boolean probed = previousLoad == null || upstream.load() > previousLoad;
		return profile.outOfUse(probed ? nextProbeNanos(now)
				: upstream.speedProfile()
					.flatMap((previous) -> previous.probeNanos().stream().boxed().findFirst())
					.orElseGet(() -> nextProbeNanos(now)));
	}

	/**
	 * Called when a request is placed at an upstream; schedules the next probe if the
	 * upstream is out of use.
	 * @param upstream the upstream
	 */
	void recordPlacement(TrackedUpstream upstream) {
		if (!upstream.inUse()) {
			upstream.speedProfile(
					upstream.speedProfile().map((profile) -> profile.outOfUse(nextProbeNanos(this.ticker.nanos()))));
		}
	}

	private long nextProbeNanos(long now) {
		return now + MIN_PROBE_INTERVAL_NANOS + this.random.nextLong(PROBE_SPREAD_NANOS);
	}

	/** The state of a service. */
	private static final class Service {

		private boolean refreshed;

		private long refreshedNanos;

		/** Whether requests are placed by expected time. */
		private boolean timed;

		/** The upstreams that have a profile, which may have stopped serving since. */
		private final Set<TrackedUpstream> profiled = new HashSet<>();

		/** The loads of the slow upstreams when they were last looked at. */
		private final Map<TrackedUpstream, Integer> loads = new HashMap<>();

	}

	/** Builds {@link SpeedProfiles}. */
	public static final class Builder {

		private Function<String, List<TrackedUpstream>> serving;

		private UpstreamSpeeds speeds = UpstreamSpeeds.unknown();

		private Function<String, Optional<Duration>> latencyTarget = (service) -> Optional.empty();

		private Ticker ticker;

		private RandomGenerator random;

		private Builder() {
		}

		/**
		 * Sets the source of upstreams.
		 * @param value returns the upstreams that accept requests of a service
		 * @return this builder
		 */
		public Builder serving(Function<String, List<TrackedUpstream>> value) {
			this.serving = value;
			return this;
		}

		/**
		 * Sets the observed speeds.
		 * @param value the speeds
		 * @return this builder
		 */
		public Builder speeds(UpstreamSpeeds value) {
			this.speeds = value;
			return this;
		}

		/**
		 * Sets the callers' targets.
		 * @param value returns the target for the time to the first event at a service,
		 * or empty for 300 ms
		 * @return this builder
		 */
		public Builder latencyTarget(Function<String, Optional<Duration>> value) {
			this.latencyTarget = value;
			return this;
		}

		/**
		 * Sets the clock.
		 * @param value the monotonic clock
		 * @return this builder
		 */
		public Builder ticker(Ticker value) {
			this.ticker = value;
			return this;
		}

		/**
		 * Sets the source of random numbers.
		 * @param value spreads the probes of several processes
		 * @return this builder
		 */
		public Builder random(RandomGenerator value) {
			this.random = value;
			return this;
		}

		/**
		 * Returns the profiles.
		 * @return new profiles; none is known before the first placement
		 */
		public SpeedProfiles build() {
			return new SpeedProfiles(this);
		}

	}

}
