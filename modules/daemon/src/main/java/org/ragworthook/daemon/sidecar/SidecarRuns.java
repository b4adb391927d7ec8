package org.ragworthook.daemon.sidecar;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.vertx.core.Context;
import org.ragworthook.core.admission.EngineGate;
import org.ragworthook.core.admission.GateAction;
import org.ragworthook.core.admission.GateLoad;
import org.ragworthook.core.admission.RunKey;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.daemon.engine.CallEnd;
import org.ragworthook.daemon.engine.CallListener;
import org.ragworthook.daemon.engine.CallOutput;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Cancel;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.FenceItems;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Leaving;
import org.ragworthook.wire.message.Load;
import org.ragworthook.wire.message.Outcome;
import org.ragworthook.wire.message.Run;

/**
 * Takes requests from entries and runs them on the upstream as the gate decides. All
 * state is confined to one context; what comes from links is handed over to it.
 */
final class SidecarRuns implements LinkListener {

	private static final EventLog LOG = EventLog.of(SidecarRuns.class);

	private static final long SWEEP_MILLIS = 200;

	private static final long REPORT_MILLIS = 1_000;

	/** How long a refused request should wait if it finds no other upstream. */
	private static final int RETRY_AFTER_MILLIS = 200;

	/**
	 * Entries that have not yet read that the sidecar leaves still send requests, whose
	 * refusal they must get; without it they would not know what became of them.
	 */
	private static final Duration FAREWELL = Duration.ofMillis(500);

	private final Context context;

	private final UpstreamClient upstream;

	private final Ticker ticker;

	private final Metrics metrics;

	private final EngineGate gate;

	private final UpstreamHealth health;

	private final CrashWatch crashes;

	private final ItemFence fence = new ItemFence();

	private final Map<RunKey, ActiveRun> active = new LinkedHashMap<>();

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private volatile Load load;

	private Load reported = Load.getDefaultInstance();

	private volatile boolean leaving;

	private CompletableFuture<Void> drained;

	SidecarRuns(Context context, UpstreamClient upstream, Ticker ticker, EngineGate gate, Metrics metrics) {
		this.context = Objects.requireNonNull(context, "context is null");
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.gate = Objects.requireNonNull(gate, "gate is null");
		this.metrics = Objects.requireNonNull(metrics, "metrics is null");
		this.health = new UpstreamHealth(context.owner(), upstream, this::healthChanged);
		this.crashes = new CrashWatch(context.owner(), this.health,
				() -> (int) this.active.values().stream().filter(ActiveRun::passedOn).count());
		this.load = newLoad();
		context.runOnContext((ignored) -> {
			context.owner().setPeriodic(SWEEP_MILLIS, (id) -> perform(gate.sweep()));
			context.owner().setPeriodic(REPORT_MILLIS, (id) -> report());
			QueueReports.follow(context.owner(), upstream, gate::engineQueueReported);
		});
	}

	/**
	 * Tells entries of a load that has changed. Each answer bears the load as well, but
	 * an entry that holds requests back because this upstream was full would get no more
	 * answers from it.
	 */
	private void report() {
		if (!this.load.equals(this.reported)) {
			this.reported = this.load;
			Frame frame = Frame.newBuilder().setLoad(this.load).build();
			this.links.stream().filter((link) -> link.lane() == Lane.LANE_ONLINE).forEach((link) -> link.send(frame));
		}
	}

	private void healthChanged() {
		this.load = newLoad();
		report();
	}

	/**
	 * Returns how busy the upstream is.
	 * @return the newest count
	 */
	Load load() {
		return this.load;
	}

	/**
	 * Tells whether the sidecar takes no new requests any more.
	 * @return whether it leaves
	 */
	boolean leaving() {
		return this.leaving;
	}

	// -- links

	@Override
	public void opened(Link link) {
		this.links.add(link);
		if (this.leaving) {
			link.send(leavingFrame());
		}
	}

	@Override
	public void received(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case RUN -> this.context.runOnContext((ignored) -> accept(link, frame.getRun()));
			case CANCEL -> this.context.runOnContext((ignored) -> cancel(frame.getCancel()));
			case FENCE_ITEMS -> this.context.runOnContext((ignored) -> fence(frame.getFenceItems()));
			default -> {
			}
		}
	}

	@Override
	public void writable(Link link) {
		this.context.runOnContext((ignored) -> resume(link));
	}

	private void resume(Link link) {
		this.active.values().stream().filter((run) -> run.link() == link).forEach(ActiveRun::resume);
	}

	/**
	 * The entry that sent the requests of a lost link cannot take their answers any more;
	 * it knows that and sends them again where it may. Running on would take slots from
	 * others. A request that may run only once is not sent again, so it runs to its end.
	 */
	@Override
	public void closed(Link link) {
		this.links.remove(link);
		this.context.runOnContext((ignored) -> {
			giveUp((run) -> run.link() == link && (!run.started() || run.run().getRepeatable()));
			resume(link);
		});
	}

	// -- requests

	private void accept(Link link, Run run) {
		ActiveRun accepted = new ActiveRun(run, link, this.ticker.nanos());
		if (run.hasItem() && !this.fence.admits(run.getItem())) {
			accepted.done(done(Outcome.OUTCOME_FENCED, "a newer epoch of the shard is known"));
			return;
		}
		if (this.active.putIfAbsent(accepted.key(), accepted) != null) {
			accepted.done(done(Outcome.OUTCOME_NOT_PASSED_ON, "this attempt is already here"));
			return;
		}
		perform(accepted.online() ? this.gate.offerOnline(accepted.offer()) : this.gate.offerBatch(accepted.offer()));
	}

	private void cancel(Cancel cancel) {
		giveUp((run) -> cancel.getJob().isEmpty() ? run.run().getRequest().equals(cancel.getRequest())
				: run.run().getItem().getJob().equals(cancel.getJob()));
	}

	private void fence(FenceItems newest) {
		this.fence.raise(newest.getShard(), newest.getEpoch());
		giveUp((run) -> run.run().hasItem() && !this.fence.current(run.run().getItem())
				&& (!run.started() || run.run().getRepeatable()));
	}

	// Those that wait go first: a slot that a cancelled run frees would else be taken by
	// one that is to be given up as well.
	private void giveUp(Predicate<ActiveRun> which) {
		List<ActiveRun> given = this.active.values().stream().filter(which).toList();
		List<ActiveRun> running = given.stream().filter((run) -> !this.gate.withdraw(run.key())).toList();
		given.stream().filter((run) -> !running.contains(run)).forEach((run) -> {
			this.active.remove(run.key());
			run.done(done(Outcome.OUTCOME_NOT_PASSED_ON, "cancelled while it waited"));
		});
		running.forEach(ActiveRun::cancel);
		perform(this.gate.sweep());
	}

	private void perform(List<GateAction> actions) {
		for (GateAction action : actions) {
			ActiveRun run = this.active.get(action.run());
			if (action instanceof GateAction.Start) {
				start(run);
			}
			else if (action instanceof GateAction.Cancel) {
				this.metrics.preemptions().increment();
				run.giveWay();
			}
			else if (action instanceof GateAction.Refuse refusal) {
				this.active.remove(run.key());
				run.done(done(Outcome.OUTCOME_NOT_PASSED_ON, detail(refusal.reason()))
					.setRetryAfterMillis(RETRY_AFTER_MILLIS));
			}
		}
		this.load = newLoad();
		if (this.drained != null && this.active.isEmpty()) {
			this.drained.complete(null);
		}
	}

	private void start(ActiveRun run) {
		this.metrics.upstreamWait(run.online() ? "online" : "batch")
			.record(this.ticker.nanos() - run.arrivedNanos(), TimeUnit.NANOSECONDS);
		run.started(this.upstream.start(run.run(), new Answering(run)));
	}

	private static String detail(GateAction.Reason reason) {
		return switch (reason) {
			case QUEUE_FULL -> "the queue before the upstream is full";
			case DEADLINE_PASSED -> "the deadline passed while the request waited";
			case RESERVED_FOR_SUSPECT -> "the upstream runs one request alone";
			case DRAINING -> "the sidecar is leaving";
		};
	}

	private Done.Builder done(Outcome outcome, String detail) {
		return Done.newBuilder().setOutcome(outcome).setDetail(detail).setLoad(newLoad());
	}

	private Load newLoad() {
		GateLoad counts = this.gate.load();
		return Load.newBuilder()
			.setOnlineRunning(counts.onlineRunning())
			.setBatchRunning(counts.batchRunning())
			.setOnlineQueued(counts.onlineQueued())
			.setBatchQueued(counts.batchQueued())
			.setLimit(this.health.reachable() ? counts.limit() : 0)
			.setBatchRoom(this.health.reachable() ? counts.batchRoom() : 0)
			.setCrashes(this.crashes.crashes())
			.build();
	}

	// -- leaving

	/**
	 * Leaves: tells every entry at once, hands back what waits and all batch, and lets
	 * the other requests finish.
	 * @return completes when no request is left and entries had time to read the refusals
	 */
	CompletableFuture<Void> leave() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.context.runOnContext((ignored) -> {
			this.leaving = true;
			this.links.forEach((link) -> link.send(leavingFrame()));
			LOG.info("sidecar_draining", "requests", this.active.size());
			this.drained = new CompletableFuture<>();
			CompletableFuture<Void> farewell = new CompletableFuture<>();
			this.context.owner().setTimer(FAREWELL.toMillis(), (id) -> farewell.complete(null));
			CompletableFuture.allOf(this.drained, farewell).thenRun(() -> done.complete(null));
			perform(this.gate.drain());
		});
		return done;
	}

	private static Frame leavingFrame() {
		return Frame.newBuilder().setLeaving(Leaving.newBuilder().setReason("stopping")).build();
	}

	/**
	 * Sends the answer of one request back.
	 */
	private final class Answering implements CallListener {

		private final ActiveRun run;

		private Answering(ActiveRun run) {
			this.run = run;
		}

		@Override
		public void output(CallOutput piece) {
			if (!this.run.answering()) {
				SidecarRuns.this.gate.firstOutput(this.run.key());
			}
			this.run.output(piece);
		}

		@Override
		public void ended(CallEnd end) {
			if (end.kind() == CallEnd.Kind.BROKEN) {
				// The slot stays taken until the verdict, so that nothing is started on
				// an upstream that is going down.
				SidecarRuns.this.crashes.broken((verdict) -> finish(end, verdict));
			}
			else {
				finish(end, new CrashWatch.Verdict(false, 0));
			}
		}

		private void finish(CallEnd end, CrashWatch.Verdict verdict) {
			SidecarRuns.this.active.remove(this.run.key());
			if (end.kind() == CallEnd.Kind.NOT_PASSED_ON) {
				SidecarRuns.this.health.lost();
			}
			List<GateAction> next = this.run.yielding() ? SidecarRuns.this.gate.preempted(this.run.key())
					: SidecarRuns.this.gate.finished(this.run.key(), this.run.ending(end), end.tokens());
			this.run.done(done(this.run.outcome(end, verdict.crashed()), end.detail()).setText(end.text())
				.setTokens(end.tokens())
				.setInFlight(verdict.inFlight()));
			perform(next);
		}

	}

}
