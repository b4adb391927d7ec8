package org.ragworthook.core.admission;

import java.util.Locale;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;

/**
 * Selects the {@link EngineGate} implementation.
 */
public enum GatePolicy {

	/** Online requests before batch requests, with preemption and an adaptive limit. */
	PRIORITY {
		@Override
		public EngineGate createGate(Ticker ticker, ConcurrencyLimit limit, int headroom, int batchRoom) {
			return PriorityGate.builder(ticker).limit(limit).headroom(headroom).queueLimits(256, batchRoom).build();
		}
	},

	/** All requests in arrival order, queued by the engine. Baseline for benchmarks. */
	ARRIVAL_ORDER {
		@Override
		public EngineGate createGate(Ticker ticker, ConcurrencyLimit limit, int headroom, int batchRoom) {
			return ArrivalOrderGate.of(batchRoom);
		}
	};

	/**
	 * Returns a new gate of this policy.
	 * @param ticker the monotonic clock
	 * @param limit the concurrency limit of the engine; unused by {@link #ARRIVAL_ORDER}
	 * @param headroom the number of slots kept free of batch requests; unused by
	 * {@link #ARRIVAL_ORDER}
	 * @param batchRoom the maximum number of batch requests waiting at the sidecar; for
	 * {@link #ARRIVAL_ORDER}, at the engine
	 * @return a gate for one engine
	 */
	public abstract EngineGate createGate(Ticker ticker, ConcurrencyLimit limit, int headroom, int batchRoom);

	/**
	 * Parses the name of a policy as it is written in settings.
	 * @param text {@code priority} or {@code arrival-order}
	 * @return the policy
	 * @throws IllegalArgumentException if there is no such policy
	 */
	public static GatePolicy parse(String text) {
		Objects.requireNonNull(text, "text is null");
		return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

}
