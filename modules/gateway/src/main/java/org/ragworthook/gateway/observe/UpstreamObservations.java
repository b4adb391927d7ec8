package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * What this process has observed of one upstream in the last seconds, and what its peers
 * report of it. A new start of an upstream has observations of its own. Not thread-safe:
 * used on the event loop.
 * <p>
 * Takes about 1.2 KB for an upstream in use, and 3 KB together with the figures of eight
 * peers.
 */
final class UpstreamObservations {

	/** Time after which a run counts half in the shares of failures and rejections. */
	private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

	/** Age of the last observation from which nothing is left to count. */
	private static final long MAX_AGE_NANOS = Duration.ofSeconds(10).toNanos();

	/** Ended runs from which the share of failures counts. */
	private static final double MIN_RUNS = 4;

	/**
	 * Share of failures from which times are not used: an upstream that fails may answer
	 * faster than it could work.
	 */
	private static final double UNRELIABLE_SHARE = 0.5;

	/**
	 * Half-second periods with gaps from which a speed is compared. The median of fewer
	 * may be that of a single stream, or of a single delay of this process.
	 */
	private static final int MIN_PERIODS = 4;

	/** Observations of peers, whose periods are not reported, that count as much. */
	private static final int MIN_PEER_SAMPLES = 100;

	/** The gaps by level of load; {@code null} where none was observed. */
	private final DecayingMedian[] gaps = new DecayingMedian[LoadEffect.LEVELS];

	private DecayingMedian firstEvents;

	private DecayingMedian runs;

	private final PeerEstimates peers = new PeerEstimates();

	private double ended;

	private double failed;

	private double rejected;

	private long decayedNanos;

	private long lastNanos;

	private long count;

	UpstreamObservations(long nowNanos) {
		this.decayedNanos = nowNanos;
		this.lastNanos = nowNanos;
	}

	/**
	 * Records the time between two events of a stream.
	 * @param nowNanos the ticker's reading
	 * @param micros the time in microseconds
	 * @param level the level of the upstream's load
	 */
	void gap(long nowNanos, long micros, int level) {
		observed(nowNanos);
		if (this.gaps[level] == null) {
			this.gaps[level] = new DecayingMedian();
		}
		this.gaps[level].record(nowNanos, micros);
	}

	/**
	 * Records the time from sending a request to its first event while a slot was free.
	 * @param nowNanos the ticker's reading
	 * @param micros the time in microseconds
	 */
	void firstEvent(long nowNanos, long micros) {
		observed(nowNanos);
		if (this.firstEvents == null) {
			this.firstEvents = new DecayingMedian();
		}
		this.firstEvents.record(nowNanos, micros);
	}

	/**
	 * Records the duration of a complete run.
	 * @param nowNanos the ticker's reading
	 * @param micros the duration in microseconds
	 */
	void run(long nowNanos, long micros) {
		observed(nowNanos);
		if (this.runs == null) {
			this.runs = new DecayingMedian();
		}
		this.runs.record(nowNanos, micros);
	}

	/**
	 * Counts a run that has ended.
	 * @param nowNanos the ticker's reading
	 * @param end how it ended
	 */
	void ended(long nowNanos, RunObserver.End end) {
		observed(nowNanos);
		double decay = decay(nowNanos);
		this.ended = this.ended * decay + ((end != RunObserver.End.REJECTED) ? 1 : 0);
		this.failed = this.failed * decay + ((end == RunObserver.End.FAILED) ? 1 : 0);
		this.rejected = this.rejected * decay + ((end == RunObserver.End.REJECTED) ? 1 : 0);
		this.decayedNanos = nowNanos;
	}

	/**
	 * Records the figures of a peer.
	 * @param peer hash of the peer's name
	 * @param nowNanos the ticker's reading
	 * @param estimate the figures
	 */
	void reported(int peer, long nowNanos, SpeedEstimate estimate) {
		this.peers.put(peer, nowNanos, estimate);
	}

	private void observed(long nowNanos) {
		this.lastNanos = nowNanos;
		this.count++;
	}

	private double decay(long nowNanos) {
		return Math.pow(0.5, (nowNanos - this.decayedNanos) / HALF_LIFE_NANOS);
	}

	/**
	 * Returns the share of the ended runs that failed.
	 * @param nowNanos the ticker's reading
	 * @return a fraction, or empty if too few runs have ended lately
	 */
	OptionalDouble failureShare(long nowNanos) {
		return (this.ended * decay(nowNanos) < MIN_RUNS) ? OptionalDouble.empty()
				: OptionalDouble.of(this.failed / this.ended);
	}

	/**
	 * Returns the share of the requests that the upstream rejected.
	 * @param nowNanos the ticker's reading
	 * @return a fraction, or empty if too few requests were sent lately
	 */
	OptionalDouble rejectionShare(long nowNanos) {
		double sent = this.ended + this.rejected;
		return (sent * decay(nowNanos) < MIN_RUNS) ? OptionalDouble.empty() : OptionalDouble.of(this.rejected / sent);
	}

	/**
	 * Returns the usual gap at a level of load, as this process observes it.
	 * @param level the level
	 * @param minSamples how many gaps are needed
	 * @param nowNanos the ticker's reading
	 * @return microseconds, or empty if fewer gaps were observed
	 */
	OptionalDouble gapMicros(int level, int minSamples, long nowNanos) {
		DecayingMedian observed = this.gaps[level];
		return (observed != null && reliable(nowNanos) && observed.samples(nowNanos) >= minSamples)
				? observed.median(nowNanos) : OptionalDouble.empty();
	}

	/**
	 * Returns the usual duration of a complete run, as this process observes it.
	 * @param nowNanos the ticker's reading
	 * @return microseconds, or empty if none was observed
	 */
	OptionalDouble runMicros(long nowNanos) {
		return (this.runs != null && reliable(nowNanos)) ? this.runs.median(nowNanos) : OptionalDouble.empty();
	}

	private boolean reliable(long nowNanos) {
		return failureShare(nowNanos).orElse(0) < UNRELIABLE_SHARE;
	}

	/**
	 * Returns the speed as this process observes it. Gaps at levels whose effect is not
	 * known are used only if there are no others.
	 * @param effect the effect of the load on gaps
	 * @param nowNanos the ticker's reading
	 * @return the estimate
	 */
	SpeedEstimate ownEstimate(LoadEffect effect, long nowNanos) {
		if (!reliable(nowNanos)) {
			return SpeedEstimate.UNKNOWN;
		}
		WeightedMedian gap = new WeightedMedian();
		int samples = 0;
		boolean converted = converted(effect, nowNanos);
		for (int level = 0; level < this.gaps.length; level++) {
			if (this.gaps[level] != null && (effect.known(level) || !converted)) {
				int weight = this.gaps[level].samples(nowNanos);
				double factor = effect.factor(level);
				this.gaps[level].median(nowNanos).ifPresent((micros) -> gap.add(micros / factor, weight));
				samples += weight;
			}
		}
		OptionalDouble first = (this.firstEvents != null) ? this.firstEvents.median(nowNanos) : OptionalDouble.empty();
		samples += (this.firstEvents != null) ? this.firstEvents.samples(nowNanos) : 0;
		return new SpeedEstimate(gap.value(), first, samples);
	}

	/**
	 * Returns whether the gap of the own estimate is converted to the lowest level.
	 * @param effect the effect of the load on gaps
	 * @param nowNanos the ticker's reading
	 * @return whether gaps were observed at a level whose effect is known
	 */
	boolean converted(LoadEffect effect, long nowNanos) {
		for (int level = 0; level < this.gaps.length; level++) {
			if (this.gaps[level] != null && effect.known(level) && this.gaps[level].samples(nowNanos) > 0) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether enough was observed, at loads that can be converted, to compare the
	 * speed with that of other upstreams.
	 * @param own the estimate of this process
	 * @param effect the effect of the load on gaps
	 * @param nowNanos the ticker's reading
	 * @return whether gaps were observed in four periods, or 100 by peers
	 */
	boolean comparable(SpeedEstimate own, LoadEffect effect, long nowNanos) {
		if (own.gapMicros().isPresent() && !converted(effect, nowNanos)) {
			return false;
		}
		int periods = 0;
		for (int level = 0; level < this.gaps.length; level++) {
			if (this.gaps[level] != null && effect.known(level)) {
				periods |= this.gaps[level].recordedPeriods(nowNanos);
			}
		}
		return Integer.bitCount(periods) >= MIN_PERIODS || this.peers.samples(nowNanos) >= MIN_PEER_SAMPLES;
	}

	/**
	 * Returns the speed as this process and its peers observe it.
	 * @param own the estimate of this process
	 * @param nowNanos the ticker's reading
	 * @return the estimate
	 */
	SpeedEstimate estimate(SpeedEstimate own, long nowNanos) {
		if (this.peers.isEmpty()) {
			return own;
		}
		WeightedMedian gap = new WeightedMedian();
		WeightedMedian first = new WeightedMedian();
		own.gapMicros().ifPresent((micros) -> gap.add(micros, own.samples()));
		own.firstEventMicros().ifPresent((micros) -> first.add(micros, own.samples()));
		double samples = own.samples() + this.peers.addTo(nowNanos, gap, first);
		return new SpeedEstimate(gap.value(), first.value(), (int) Math.round(samples));
	}

	/**
	 * Returns how much was observed so far, so that a reader notices new observations.
	 * @return the number of observations of this process
	 */
	long count() {
		return this.count;
	}

	/**
	 * Returns whether nothing was observed or reported within 10 s.
	 * @param nowNanos the ticker's reading
	 * @return whether nothing is left to count
	 */
	boolean outdated(long nowNanos) {
		return this.peers.isEmpty() && nowNanos - this.lastNanos >= MAX_AGE_NANOS;
	}

}
