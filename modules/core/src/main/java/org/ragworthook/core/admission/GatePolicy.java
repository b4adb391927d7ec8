package org.ragworthook.core.admission;

import java.util.Locale;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;

/**
 * Which gate stands before an engine.
 */
public enum GatePolicy {

	/** Online before batch, with preemption and a learnt limit. */
	PRIORITY {
		@Override
		public EngineGate createGate(Ticker ticker, ConcurrencyLimit limit, int headroom, int batchRoom) {
			return PriorityGate.builder(ticker).limit(limit).headroom(headroom).queueLimits(256, batchRoom).build();
		}
	},

	/** Everything in the order of its arrival, queued by the engine: the baseline. */
	ARRIVAL_ORDER {
		@Override
		public EngineGate createGate(Ticker ticker, ConcurrencyLimit limit, int headroom, int batchRoom) {
			return ArrivalOrderGate.of(batchRoom);
		}
	};

	/**
	 * Returns a new gate of this policy.
	 * @param ticker the time
	 * @param limit the limit of the engine, where the policy has one
	 * @param headroom how many slots batch leaves free, where the policy has them
	 * @param batchRoom how many batch requests the sidecar holds beside those that run;
	 * without a limit, how many it passes on
	 * @return a gate for one engine
	 */
	public abstract EngineGate createGate(Ticker ticker, ConcurrencyLimit limit, int headroom, int batchRoom);

	/**
	 * Reads a policy as settings name it.
	 * @param text {@code priority} or {@code arrival-order}
	 * @return the policy
	 * @throws IllegalArgumentException if there is no such policy
	 */
	public static GatePolicy parse(String text) {
		Objects.requireNonNull(text, "text is null");
		return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

}
