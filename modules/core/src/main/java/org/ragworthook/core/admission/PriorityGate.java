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
 * Runs online requests ahead of batch requests. Batch fills what online leaves, less some
 * headroom, and gives way when an online request finds no slot.
 * <p>
 * The engine itself would run requests in the order of their arrival, so a burst of batch
 * in its queue would hold up every online request behind it. The gate therefore keeps the
 * engine's queue empty and lets requests wait here, where online can overtake.
 */
public final class PriorityGate implements EngineGate {

	private final Ticker ticker;

	private final ConcurrencyLimit limit;

	private final int headroom;

	private final int onlineQueueLimit;

	private final int batchQueueLimit;

	private final long suspectMaxWaitNanos;

	/** In the order in which they were passed on, so that the youngest are last. */
	private final Map<RunKey, Running> running = new LinkedHashMap<>();

	private final Deque<Waiting> online = new ArrayDeque<>();

	private final Deque<Waiting> batch = new ArrayDeque<>();

	private final Deque<Waiting> suspects = new ArrayDeque<>();

	private Optional<Waiting> exclusive = Optional.empty();

	private int batchRunning;

	private int cancelling;

	private boolean leaving;

	private PriorityGate(Builder builder) {
		this.ticker = builder.ticker;
		this.limit = builder.limit;
		this.headroom = builder.headroom;
		this.onlineQueueLimit = builder.onlineQueueLimit;
		this.batchQueueLimit = builder.batchQueueLimit;
		this.suspectMaxWaitNanos = builder.suspectMaxWait.toNanos();
	}

	/**
	 * Returns a builder.
	 * @param ticker the time
	 * @return a builder with a learnt limit, a headroom of one and queues of 256
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

	private List<GateAction> offer(Offer offer, boolean isBatch, Deque<Waiting> queue, int bound) {
		Objects.requireNonNull(offer, "offer is null");
		if (this.leaving) {
			return refused(offer, GateAction.Reason.DRAINING);
		}
		if (this.exclusive.isPresent() && !isBatch && !offer.exclusive()) {
			return refused(offer, GateAction.Reason.RESERVED_FOR_SUSPECT);
		}
		Deque<Waiting> target = (offer.exclusive()) ? this.suspects : queue;
		if (target.size() >= bound) {
			return refused(offer, GateAction.Reason.QUEUE_FULL);
		}
		target.addLast(new Waiting(offer, isBatch, this.ticker.nanos()));
		return scheduled();
	}

	private static List<GateAction> refused(Offer offer, GateAction.Reason reason) {
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
	public List<GateAction> finished(RunKey run, RunOutcome ending, int tokens) {
		Running entry = this.running.get(run);
		if (entry == null) {
			return List.of();
		}
		if (ending == RunOutcome.OVERLOADED) {
			this.limit.overloaded();
		}
		if (entry.firstOutputNanos != 0 && tokens > 1) {
			this.limit.tokensGenerated(tokens - 1, this.ticker.nanos() - entry.firstOutputNanos);
		}
		return freed(run, entry);
	}

	@Override
	public List<GateAction> preempted(RunKey run) {
		Running entry = this.running.get(run);
		return (entry != null) ? freed(run, entry) : List.of();
	}

	private List<GateAction> freed(RunKey run, Running entry) {
		this.running.remove(run);
		if (entry.batch) {
			this.batchRunning--;
		}
		if (entry.cancelled) {
			this.cancelling--;
		}
		if (this.exclusive.isPresent() && this.exclusive.get().offer().run().equals(run)) {
			this.exclusive = Optional.empty();
		}
		return scheduled();
	}

	@Override
	public boolean withdraw(RunKey run) {
		if (removed(this.online, run) || removed(this.batch, run) || removed(this.suspects, run)) {
			return true;
		}
		boolean held = this.exclusive.isPresent() && this.exclusive.get().offer().run().equals(run);
		if (held && !this.running.containsKey(run)) {
			this.exclusive = Optional.empty();
			return true;
		}
		return false;
	}

	private static boolean removed(Deque<Waiting> queue, RunKey run) {
		return queue.removeIf((waiting) -> waiting.offer().run().equals(run));
	}

	@Override
	public void engineQueueReported(int waiting) {
		this.limit.queueReported(waiting);
	}

	@Override
	public List<GateAction> sweep() {
		return scheduled();
	}

	@Override
	public List<GateAction> drain() {
		this.leaving = true;
		List<GateAction> actions = new ArrayList<>();
		for (Deque<Waiting> queue : List.of(this.online, this.batch, this.suspects)) {
			queue.forEach((waiting) -> actions.addAll(refused(waiting.offer(), GateAction.Reason.DRAINING)));
			queue.clear();
		}
		if (this.exclusive.isPresent() && this.running.get(this.exclusive.get().offer().run()) == null) {
			actions.addAll(refused(this.exclusive.get().offer(), GateAction.Reason.DRAINING));
			this.exclusive = Optional.empty();
		}
		cancelYoungest(this.batchRunning - this.cancelling, actions);
		return actions;
	}

	// -- decisions

	private List<GateAction> scheduled() {
		List<GateAction> actions = new ArrayList<>(2);
		long now = this.ticker.nanos();
		dropExpired(this.online, now, actions);
		dropExpired(this.suspects, now, actions);
		if (this.exclusive.isEmpty() && suspectIsDue(now)) {
			this.exclusive = Optional.of(this.suspects.removeFirst());
		}
		if (this.exclusive.isPresent()) {
			runAlone(this.exclusive.get(), actions);
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
				actions.addAll(refused(next.offer(), GateAction.Reason.DEADLINE_PASSED));
			}
			else {
				start(next, actions);
			}
		}
		if (!this.batch.isEmpty()) {
			this.limit.limitReached();
		}
	}

	private boolean suspectIsDue(long now) {
		Waiting head = this.suspects.peekFirst();
		if (head == null) {
			return false;
		}
		boolean free = this.online.isEmpty() && this.running.size() == this.batchRunning;
		// Under constant load the engine is never free; without the patience a suspect
		// would wait until its deadline although it may well be innocent.
		return free || now - head.sinceNanos() >= this.suspectMaxWaitNanos;
	}

	private void runAlone(Waiting suspect, List<GateAction> actions) {
		if (this.running.containsKey(suspect.offer().run())) {
			return;
		}
		this.online
			.forEach((waiting) -> actions.addAll(refused(waiting.offer(), GateAction.Reason.RESERVED_FOR_SUSPECT)));
		this.online.clear();
		if (this.running.isEmpty()) {
			start(suspect, actions);
		}
		else {
			cancelYoungest(this.batchRunning - this.cancelling, actions);
		}
	}

	private static void dropExpired(Deque<Waiting> queue, long now, List<GateAction> actions) {
		Iterator<Waiting> each = queue.iterator();
		while (each.hasNext()) {
			Offer offer = each.next().offer();
			if (offer.expired(now)) {
				each.remove();
				actions.addAll(refused(offer, GateAction.Reason.DEADLINE_PASSED));
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

	// Cancels the batch runs that were passed on last: they lose the least work, and the
	// oldest come to an end however often online bursts.
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
		int room = (this.leaving) ? 0 : Math.max(0, this.batchQueueLimit - this.batch.size());
		int held = (this.exclusive.isPresent() && !this.running.containsKey(this.exclusive.get().offer().run())) ? 1
				: 0;
		return new GateLoad(this.running.size() - this.batchRunning, this.batchRunning,
				this.online.size() + this.suspects.size() + held, this.batch.size(),
				this.exclusive.isPresent() ? 0 : this.limit.value(), room);
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
	 * Builds gates.
	 */
	public static final class Builder {

		private final Ticker ticker;

		private ConcurrencyLimit limit = ConcurrencyLimit.builder().build();

		private int headroom = 1;

		private int onlineQueueLimit = 256;

		private int batchQueueLimit = 256;

		private Duration suspectMaxWait = Duration.ofMillis(500);

		private Builder(Ticker ticker) {
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		}

		/**
		 * Sets the limit of the engine.
		 * @param engineLimit the limit, which the gate feeds with what it observes
		 * @return this builder
		 */
		public Builder limit(ConcurrencyLimit engineLimit) {
			this.limit = Objects.requireNonNull(engineLimit, "engineLimit is null");
			return this;
		}

		/**
		 * Sets how many slots batch leaves free for the next online requests.
		 * @param slots the number of slots, not negative
		 * @return this builder
		 */
		public Builder headroom(int slots) {
			this.headroom = slots;
			return this;
		}

		/**
		 * Sets how many requests may wait.
		 * @param onlineRequests how many online requests
		 * @param batchRequests how many batch requests
		 * @return this builder
		 */
		public Builder queueLimits(int onlineRequests, int batchRequests) {
			this.onlineQueueLimit = onlineRequests;
			this.batchQueueLimit = batchRequests;
			return this;
		}

		/**
		 * Sets how long a suspect waits for a free engine before the engine is drained
		 * for it.
		 * @param patience how long
		 * @return this builder
		 */
		public Builder suspectMaxWait(Duration patience) {
			this.suspectMaxWait = Objects.requireNonNull(patience, "patience is null");
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
