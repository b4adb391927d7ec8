package org.ragworthook.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Forwards every request immediately and leaves queueing to the engine: no priorities, no
 * preemption. Serves as the baseline for benchmarks of {@link PriorityGate}.
 */
public final class ArrivalOrderGate implements EngineGate {

	private final int batchLimit;

	private final Map<RunKey, Boolean> running = new HashMap<>();

	private int batchRunning;

	private boolean draining;

	private ArrivalOrderGate(int batchLimit) {
		this.batchLimit = batchLimit;
	}

	/**
	 * Returns a gate.
	 * @param batchLimit the maximum number of batch requests at the engine, queued there
	 * or running
	 * @return a new gate
	 */
	public static ArrivalOrderGate of(int batchLimit) {
		return new ArrivalOrderGate(batchLimit);
	}

	@Override
	public List<GateAction> offerOnline(Offer offer) {
		return offer(offer, false);
	}

	@Override
	public List<GateAction> offerBatch(Offer offer) {
		return offer(offer, true);
	}

	private List<GateAction> offer(Offer offer, boolean batch) {
		Objects.requireNonNull(offer, "offer is null");
		if (this.draining) {
			return List.of(new GateAction.Refuse(offer.run(), GateAction.Reason.DRAINING));
		}
		if (batch && this.batchRunning >= this.batchLimit) {
			return List.of(new GateAction.Refuse(offer.run(), GateAction.Reason.QUEUE_FULL));
		}
		this.running.put(offer.run(), batch);
		this.batchRunning += (batch) ? 1 : 0;
		return List.of(new GateAction.Start(offer.run()));
	}

	@Override
	public void firstOutput(RunKey run) {
	}

	@Override
	public List<GateAction> finished(RunKey run, RunOutcome outcome, int tokens) {
		Boolean batch = this.running.remove(run);
		this.batchRunning -= (Boolean.TRUE.equals(batch)) ? 1 : 0;
		return List.of();
	}

	@Override
	public List<GateAction> preempted(RunKey run) {
		return finished(run, RunOutcome.CANCELLED, 0);
	}

	@Override
	public boolean withdraw(RunKey run) {
		return false;
	}

	@Override
	public void engineQueueReported(int waiting) {
	}

	@Override
	public List<GateAction> sweep() {
		return List.of();
	}

	@Override
	public List<GateAction> drain() {
		this.draining = true;
		return List.of();
	}

	@Override
	public GateLoad load() {
		int batchRoom = (this.draining) ? 0 : Math.max(0, this.batchLimit - this.batchRunning);
		int online = this.running.size() - this.batchRunning;
		return new GateLoad(online, this.batchRunning, 0, 0, Math.max(1, this.running.size()), batchRoom);
	}

}
