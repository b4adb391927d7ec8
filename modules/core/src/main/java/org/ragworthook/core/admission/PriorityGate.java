package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;

/**
 * Runs online requests before batch requests. Batch requests fill the slots that online
 * requests leave free, except for a configurable headroom, and are preempted when an
 * online request finds no free slot.
 * <p>
 * The engine runs requests in arrival order, so a burst of batch requests in its queue
 * would delay every later online request. The gate therefore keeps the engine's queue
 * empty and queues requests here, where online requests go first.
 */
public final class PriorityGate implements EngineGate {

	private final Ticker ticker;

	private final ConcurrencyLimit limit;

	private final int headroom;

	private final int onlineQueueLimit;

	private final int batchQueueLimit;

	private final long exclusiveMaxWaitNanos;

	/** In start order, so that the most recently started are last. */
	private final Map<RunKey, Running> running = new LinkedHashMap<>();

	private final Deque<Waiting> online = new ArrayDeque<>();

	private final Deque<Waiting> batch = new ArrayDeque<>();

	private final Deque<Waiting> exclusiveQueue = new ArrayDeque<>();

	private Optional<Waiting> exclusiveRun = Optional.empty();

	private int batchRunning;

	private int cancelling;

	private boolean draining;

	private PriorityGate(Builder builder) {
		this.ticker = builder.ticker;
		this.limit = builder.limit;
		this.headroom = builder.headroom;
		this.onlineQueueLimit = builder.onlineQueueLimit;
		this.batchQueueLimit = builder.batchQueueLimit;
		this.exclusiveMaxWaitNanos = builder.exclusiveMaxWait.toNanos();
	}

	/**
	 * Returns a builder.
	 * @param ticker the monotonic clock
	 * @return a builder with an adaptive limit, a headroom of one slot and queues of 256
	 * requests
	 */
	public static Builder builder(Ticker ticker) {
		return new Builder(ticker);
	}

	// -- events

	@Override
	public List<GateAction> offerOnline(Offer offer) {
		return offer(offer, false, this.online, this.onlineQueueLimit);
	}

	@Override
	public List<GateAction> offerBatch(Offer offer) {
		return offer(offer, true, this.batch, this.batchQueueLimit);
	}

	private List<GateAction> offer(Offer offer, boolean isBatch, Deque<Waiting> queue, int queueLimit) {
		Objects.requireNonNull(offer, "offer is null");
		if (this.draining) {
			return refusal(offer, GateAction.Reason.DRAINING);
		}
		if (this.exclusiveRun.isPresent() && !isBatch && !offer.exclusive()) {
			return refusal(offer, GateAction.Reason.RESERVED_FOR_SUSPECT);
		}
		Deque<Waiting> target = (offer.exclusive()) ? this.exclusiveQueue : queue;
		if (target.size() >= queueLimit) {
			return refusal(offer, GateAction.Reason.QUEUE_FULL);
		}
		target.addLast(new Waiting(offer, isBatch, this.ticker.nanos()));
		return schedule();
	}

	private static List<GateAction> refusal(Offer offer, GateAction.Reason reason) {
		return List.of(new GateAction.Refuse(offer.run(), reason));
	}

	@Override
	public void firstOutput(RunKey run) {
		Running entry = this.running.get(run);
		if (entry != null && entry.firstOutputNanos == 0) {
			entry.firstOutputNanos = this.ticker.nanos();
			this.limit.firstOutput(entry.firstOutputNanos - entry.startNanos);
		}
	}

	@Override
	public List<GateAction> finished(RunKey run, RunOutcome outcome, int tokens) {
		Running entry = this.running.get(run);
		if (entry == null) {
			return List.of();
		}
		if (outcome == RunOutcome.OVERLOADED) {
			this.limit.overloaded();
		}
		if (entry.firstOutputNanos != 0 && tokens > 1) {
			this.limit.tokensGenerated(tokens - 1, this.ticker.nanos() - entry.firstOutputNanos);
		}
		return slotFreed(run, entry);
	}

	@Override
	public List<GateAction> preempted(RunKey run) {
		Running entry = this.running.get(run);
		return (entry != null) ? slotFreed(run, entry) : List.of();
	}

	private List<GateAction> slotFreed(RunKey run, Running entry) {
		this.running.remove(run);
		if (entry.batch) {
			this.batchRunning--;
		}
		if (entry.cancelled) {
			this.cancelling--;
		}
		if (this.exclusiveRun.isPresent() && this.exclusiveRun.get().offer().run().equals(run)) {
			this.exclusiveRun = Optional.empty();
		}
		return schedule();
	}

	@Override
	public boolean withdraw(RunKey run) {
		if (removeFrom(this.online, run) || removeFrom(this.batch, run) || removeFrom(this.exclusiveQueue, run)) {
			return true;
		}
		boolean reserved = this.exclusiveRun.isPresent() && this.exclusiveRun.get().offer().run().equals(run);
		if (reserved && !this.running.containsKey(run)) {
			this.exclusiveRun = Optional.empty();
			return true;
		}
		return false;
	}

	private static boolean removeFrom(Deque<Waiting> queue, RunKey run) {
		return queue.removeIf((waiting) -> waiting.offer().run().equals(run));
	}

	@Override
	public void engineQueueReported(int waiting) {
		this.limit.queueReported(waiting);
	}

	@Override
	public List<GateAction> sweep() {
		return schedule();
	}

	@Override
	public List<GateAction> drain() {
		this.draining = true;
		List<GateAction> actions = new ArrayList<>();
		for (Deque<Waiting> queue : List.of(this.online, this.batch, this.exclusiveQueue)) {
			queue.forEach((waiting) -> actions.addAll(refusal(waiting.offer(), GateAction.Reason.DRAINING)));
			queue.clear();
		}
		if (this.exclusiveRun.isPresent() && this.running.get(this.exclusiveRun.get().offer().run()) == null) {
			actions.addAll(refusal(this.exclusiveRun.get().offer(), GateAction.Reason.DRAINING));
			this.exclusiveRun = Optional.empty();
		}
		cancelYoungest(this.batchRunning - this.cancelling, actions);
		return actions;
	}

	// -- decisions

	private List<GateAction> schedule() {
		List<GateAction> actions = new ArrayList<>(2);
		long now = this.ticker.nanos();
		refuseExpired(this.online, now, actions);
		refuseExpired(this.exclusiveQueue, now, actions);
		if (this.exclusiveRun.isEmpty() && exclusiveIsDue(now)) {
			this.exclusiveRun = Optional.of(this.exclusiveQueue.removeFirst());
		}
		if (this.exclusiveRun.isPresent()) {
			runExclusively(this.exclusiveRun.get(), actions);
			return actions;
		}
		while (!this.online.isEmpty() && this.running.size() < this.limit.value()) {
			start(this.online.removeFirst(), actions);
		}
		if (!this.online.isEmpty()) {
			this.limit.limitReached();
			int wanted = Math.min(this.online.size(), this.batchRunning);
			cancelYoungest(wanted - this.cancelling, actions);
			return actions;
		}
		fillWithBatch(now, actions);
		return actions;
	}

	private void fillWithBatch(long now, List<GateAction> actions) {
		int slots = this.limit.value() - Math.min(this.headroom, this.limit.value() - 1);
		while (!this.batch.isEmpty() && this.running.size() < slots) {
			Waiting next = this.batch.removeFirst();
			if (next.offer().expired(now)) {
				actions.addAll(refusal(next.offer(), GateAction.Reason.DEADLINE_PASSED));
			}
			else {
				start(next, actions);
			}
		}
		if (!this.batch.isEmpty()) {
			this.limit.limitReached();
		}
	}

	private boolean exclusiveIsDue(long now) {
		Waiting head = this.exclusiveQueue.peekFirst();
		if (head == null) {
			return false;
		}
		boolean free = this.online.isEmpty() && this.running.size() == this.batchRunning;
		// Under constant load the engine is never free. Without a maximum wait, a
		// suspected request would wait until its deadline although it may be harmless.
		return free || now - head.sinceNanos() >= this.exclusiveMaxWaitNanos;
	}

	private void runExclusively(Waiting request, List<GateAction> actions) {
		if (this.running.containsKey(request.offer().run())) {
			return;
		}
		this.online
			.forEach((waiting) -> actions.addAll(refusal(waiting.offer(), GateAction.Reason.RESERVED_FOR_SUSPECT)));
		this.online.clear();
		if (this.running.isEmpty()) {
			start(request, actions);
		}
		else {
			cancelYoungest(this.batchRunning - this.cancelling, actions);
		}
	}

	private static void refuseExpired(Deque<Waiting> queue, long now, List<GateAction> actions) {
		Iterator<Waiting> iterator = queue.iterator();
		while (iterator.hasNext()) {
			Offer offer = iterator.next().offer();
			if (offer.expired(now)) {
				iterator.remove();
				actions.addAll(refusal(offer, GateAction.Reason.DEADLINE_PASSED));
			}
		}
	}

	private void start(Waiting waiting, List<GateAction> actions) {
		RunKey run = waiting.offer().run();
		this.running.put(run, new Running(waiting.batch(), waiting.offer().preemptible(), this.ticker.nanos()));
		if (waiting.batch()) {
			this.batchRunning++;
		}
		actions.add(new GateAction.Start(run));
	}

	// Cancels the most recently started batch runs: they lose the least work, and the
	// oldest ones complete even if online bursts are frequent.
	private void cancelYoungest(int count, List<GateAction> actions) {
		if (count <= 0) {
			return;
		}
		List<Map.Entry<RunKey, Running>> candidates = new ArrayList<>();
		for (Map.Entry<RunKey, Running> entry : this.running.entrySet()) {
			if (entry.getValue().preemptible && !entry.getValue().cancelled) {
				candidates.add(entry);
			}
		}
		int first = Math.max(0, candidates.size() - count);
		for (int i = candidates.size() - 1; i >= first; i--) {
			candidates.get(i).getValue().cancelled = true;
			this.cancelling++;
			actions.add(new GateAction.Cancel(candidates.get(i).getKey()));
		}
	}

	@Override
	public GateLoad load() {
		int batchRoom = (this.draining) ? 0 : Math.max(0, this.batchQueueLimit - this.batch.size());
		int reserved = (this.exclusiveRun.isPresent()
				&& !this.running.containsKey(this.exclusiveRun.get().offer().run())) ? 1 : 0;
		return new GateLoad(this.running.size() - this.batchRunning, this.batchRunning,
				this.online.size() + this.exclusiveQueue.size() + reserved, this.batch.size(),
				this.exclusiveRun.isPresent() ? 0 : this.limit.value(), batchRoom);
	}

	private record Waiting(Offer offer, boolean batch, long sinceNanos) {
	}

	private static final class Running {

		private final boolean batch;

		private final boolean preemptible;

		private final long startNanos;

		private long firstOutputNanos;

		private boolean cancelled;

		private Running(boolean batch, boolean preemptible, long startNanos) {
			this.batch = batch;
			this.preemptible = batch && preemptible;
			this.startNanos = startNanos;
		}

	}

	/**
	 * Builds a {@link PriorityGate}.
	 */
	public static final class Builder {

		private final Ticker ticker;

		private ConcurrencyLimit limit = ConcurrencyLimit.builder().build();

		private int headroom = 1;

		private int onlineQueueLimit = 256;

		private int batchQueueLimit = 256;

		private Duration exclusiveMaxWait = Duration.ofMillis(500);

		private Builder(Ticker ticker) {
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		}

		/**
		 * Sets the concurrency limit of the engine.
		 * @param engineLimit the limit, to which the gate reports its observations
		 * @return this builder
		 */
		public Builder limit(ConcurrencyLimit engineLimit) {
			this.limit = Objects.requireNonNull(engineLimit, "engineLimit is null");
			return this;
		}

		/**
		 * Sets the number of slots that batch requests leave free for the next online
		 * requests.
		 * @param slots the number of slots, not negative
		 * @return this builder
		 */
		public Builder headroom(int slots) {
			this.headroom = slots;
			return this;
		}

		/**
		 * Sets the maximum queue lengths.
		 * @param onlineRequests the maximum number of waiting online requests
		 * @param batchRequests the maximum number of waiting batch requests
		 * @return this builder
		 */
		public Builder queueLimits(int onlineRequests, int batchRequests) {
			this.onlineQueueLimit = onlineRequests;
			this.batchQueueLimit = batchRequests;
			return this;
		}

		/**
		 * Sets how long an exclusive request waits for an idle engine before the engine
		 * is drained for it.
		 * @param maxWait the maximum time to wait
		 * @return this builder
		 */
		public Builder exclusiveMaxWait(Duration maxWait) {
			this.exclusiveMaxWait = Objects.requireNonNull(maxWait, "maxWait is null");
			return this;
		}

		/**
		 * Builds the gate.
		 * @return a new gate
		 */
		public PriorityGate build() {
			return new PriorityGate(this);
		}

	}

}
