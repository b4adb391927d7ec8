package org.ragworthook.gateway.observe;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The speed of one upstream as its observers among the peers report it. Keeps the newest
 * figures of eight peers at most. Not thread-safe.
 */
final class PeerEstimates {

	private static final int MAX_PEERS = 8;

	private static final long MAX_AGE_NANOS = Duration.ofSeconds(10).toNanos();

	/** Age at which a figure counts half. */
	private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

	/** By the hash of the peer's name. */
	private final Map<Integer, Reported> byPeer = new HashMap<>(2);

	/**
	 * Records the figures of a peer, in place of its earlier ones.
	 * @param peer hash of the peer's name
	 * @param nowNanos the ticker's reading
	 * @param estimate the figures
	 */
	void put(int peer, long nowNanos, SpeedEstimate estimate) {
		if (this.byPeer.size() >= MAX_PEERS && !this.byPeer.containsKey(peer)) {
			removeOldest();
		}
		this.byPeer.put(peer, new Reported(nowNanos, estimate));
	}

	private void removeOldest() {
		this.byPeer.entrySet()
			.stream()
			.min((a, b) -> Long.signum(a.getValue().nanos() - b.getValue().nanos()))
			.map(Map.Entry::getKey)
			.ifPresent(this.byPeer::remove);
	}

	/**
	 * Adds the figures of the last 10 s to medians.
	 * @param nowNanos the ticker's reading
	 * @param gaps receives the gaps
	 * @param firstEvents receives the times to the first event
	 * @return the number of observations behind them, reduced by age
	 */
	double addTo(long nowNanos, WeightedMedian gaps, WeightedMedian firstEvents) {
		this.byPeer.values().removeIf((reported) -> nowNanos - reported.nanos() >= MAX_AGE_NANOS);
		double sum = 0;
		for (Reported reported : this.byPeer.values()) {
			SpeedEstimate estimate = reported.estimate();
			double weight = estimate.samples() * Math.pow(0.5, (nowNanos - reported.nanos()) / HALF_LIFE_NANOS);
			estimate.gapMicros().ifPresent((gap) -> gaps.add(gap, weight));
			estimate.firstEventMicros().ifPresent((first) -> firstEvents.add(first, weight));
			sum += weight;
		}
		return sum;
	}

	/**
	 * Returns how much the peers have observed.
	 * @param nowNanos the ticker's reading
	 * @return the number of observations, reduced by age
	 */
	double samples(long nowNanos) {
		return addTo(nowNanos, new WeightedMedian(), new WeightedMedian());
	}

	boolean isEmpty() {
		return this.byPeer.isEmpty();
	}

	private record Reported(long nanos, SpeedEstimate estimate) {
	}

}
