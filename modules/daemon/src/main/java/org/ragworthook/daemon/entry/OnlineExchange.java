package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Timer;
import io.vertx.core.Context;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.admission.AccountGate;
import org.ragworthook.core.admission.EnqueueResult;
import org.ragworthook.core.admission.Offer;
import org.ragworthook.core.admission.QueuedRequest;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.quarantine.QuarantineState;
import org.ragworthook.core.retry.AttemptOutcome;
import org.ragworthook.core.retry.Deadline;
import org.ragworthook.core.retry.RequestState;
import org.ragworthook.core.retry.RetryDecision;
import org.ragworthook.core.routing.Choice;
import org.ragworthook.core.routing.RouteRequest;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.wire.message.Run;

/**
 * One online request from admission to the end of its response, over all attempts. Its
 * state is confined to the Vert.x context of the caller's connection; calls from other
 * threads are handed over to that context.
 */
final class OnlineExchange {

	private static final EventLog LOG = EventLog.of(OnlineExchange.class);

	private static final String ANSWERED = "answered";

	private static final String STOPPING = "the entry is stopping";

	private static final String DISCONNECTED = "caller disconnected";

	private static final Set<String> EXPECTED_ENDS = Set.of(ANSWERED, DISCONNECTED);

	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private final OnlineResources resources;

	private final ServiceResources service;

	private final OnlineRequest request;

	private final RoutingContext routing;

	private final Context context;

	private final AccountGate accountGate;

	private final CallerResponse response;

	private final Deadline deadline;

	private final long startNanos;

	private final Set<Upstream> tried = new HashSet<>();

	private RequestState state;

	private Optional<OnlineAttempt> current = Optional.empty();

	private int attempts;

	private long deadlineTimer;

	private boolean ended;

	OnlineExchange(OnlineResources resources, OnlineRequest request, RoutingContext routing, Context context) {
		this.resources = Objects.requireNonNull(resources, "resources is null");
		this.request = Objects.requireNonNull(request, "request is null");
		this.routing = Objects.requireNonNull(routing, "routing is null");
		this.context = Objects.requireNonNull(context, "context is null");
		this.service = resources.service(request.service().name());
		this.accountGate = resources.accountGate(request.account());
		this.response = new CallerResponse(routing.request(), request.run().getStream(), request.resumable());
		this.startNanos = resources.ticker().nanos();
		this.deadline = Deadline.after(resources.ticker(), request.timeout());
	}

	// -- admission

	void start() {
		Optional<Refusal> refusal = refusal();
		if (refusal.isPresent()) {
			this.resources.errors().write(this.routing, refusal.get().error(), refusal.get().retryAfter());
			return;
		}
		this.resources.requestStarted(this);
		this.deadlineTimer = this.context.owner()
			.setTimer(Math.max(1, this.request.timeout().toMillis()), (ignored) -> deadlinePassed());
		this.routing.response().closeHandler((ignored) -> callerDisconnected());
		this.state = this.service.policy().begin(this.request.run().getRepeatable(), this.request.resumable());
		if (this.request.needsClaim()) {
			this.resources.claims()
				.claim(this.request)
				.whenComplete((done, failure) -> onContext(() -> claimCompleted(failure)));
		}
		else {
			attemptOrEnqueue();
		}
	}

	private Optional<Refusal> refusal() {
		if (this.resources.refusing()) {
			return Optional.of(new Refusal(ErrorCode.REQUEST_NOT_RUN_STOPPING, STOPPING, DEFAULT_RETRY_AFTER));
		}
		Optional<Duration> quarantined = this.resources.quarantine().remaining(this.request.run().getFingerprint());
		if (quarantined.isPresent()) {
			return Optional.of(new Refusal(ErrorCode.REQUEST_QUARANTINED,
					"the same request crashed the upstreams that ran it", quarantined.get()));
		}
		Optional<String> unavailable = this.resources.unavailableDependency(this.request.service());
		if (unavailable.isPresent()) {
			return Optional
				.of(new Refusal(
						ErrorCode.REQUEST_NOT_RUN_DEPENDENCY, "service '" + this.request.service().name()
								+ "' depends on '" + unavailable.get() + "', which has no upstream",
						DEFAULT_RETRY_AFTER));
		}
		return this.accountGate.admit()
			.map((exceeded) -> new Refusal(ErrorCode.REQUEST_OVER_LIMIT,
					"account '" + this.request.account().name() + "' is over its " + exceeded.limit(),
					exceeded.retryAfter()));
	}

	private void claimCompleted(Throwable failure) {
		if (failure != null) {
			finish("not claimed", () -> this.resources.errors().write(this.routing, failure, DEFAULT_RETRY_AFTER));
		}
		else {
			attemptOrEnqueue();
		}
	}

	private void attemptOrEnqueue() {
		if (this.service.queue().nonEmpty()) {
			enqueue();
			return;
		}
		Optional<Choice> choice = choose();
		if (choice.isPresent() && choice.get().upstream().full()) {
			choice.get().release(Choice.Outcome.UNKNOWN);
			enqueue();
		}
		else {
			attempt(choice);
		}
	}

	private void enqueue() {
		QueuedRequest<OnlineExchange> queuedRequest = new QueuedRequest<>(this.request.account().name(),
				this.request.account().weight(), this.deadline.atNanos().orElse(Offer.NO_DEADLINE), this);
		EnqueueResult<OnlineExchange> result = this.service.queue().offer(queuedRequest);
		if (result instanceof EnqueueResult.Refused<OnlineExchange> refused) {
			refuseOverloaded(refused.retryAfter());
		}
		else if (result instanceof EnqueueResult.Queued<OnlineExchange> queued) {
			queued.shed()
				.map(QueuedRequest::item)
				.ifPresent((shed) -> shed.onContext(() -> shed.refuseOverloaded(queued.retryAfter())));
		}
	}

	private void refuseOverloaded(Duration retryAfter) {
		finish("overloaded",
				() -> this.resources.errors()
					.write(this.routing,
							new RequestException(ErrorCode.REQUEST_NOT_RUN_OVERLOADED,
									"every upstream of '" + this.request.service().name() + "' is at its limit"),
							retryAfter));
	}

	/**
	 * Called when this request has left the queue, on any thread. Starts an attempt,
	 * which fails if no upstream is available or the deadline has passed.
	 */
	void dequeued() {
		onContext(() -> attempt(choose()));
	}

	private void onContext(Runnable task) {
		this.context.runOnContext((ignored) -> {
			if (!this.ended) {
				task.run();
			}
		});
	}

	// -- attempts

	private Optional<Choice> choose() {
		RouteRequest routeRequest = RouteRequest.of(this.request.model(), this.request.prefix());
		Optional<Choice> untried = this.service.router().choose(routeRequest.without(this.tried));
		if (untried.isPresent() || this.tried.isEmpty()) {
			return untried;
		}
		this.tried.clear();
		return this.service.router().choose(routeRequest);
	}

	private void attempt(Optional<Choice> choice) {
		if (this.deadline.passed()) {
			deadlinePassed();
			return;
		}
		QuarantineState quarantineState = this.resources.quarantine().state(this.request.run().getFingerprint());
		Optional<Sidecar> sidecar = choice.flatMap((chosen) -> this.resources.sidecar(chosen.upstream()));
		if (quarantineState == QuarantineState.QUARANTINED || sidecar.isEmpty()) {
			choice.ifPresent((chosen) -> chosen.release(Choice.Outcome.UNKNOWN));
			fail((quarantineState == QuarantineState.QUARANTINED) ? ErrorCode.REQUEST_QUARANTINED
					: this.service.policy().noUpstream(this.state).code(),
					"no upstream of '" + this.request.service().name() + "' takes the request");
			return;
		}
		this.attempts++;
		this.tried.add(choice.get().upstream());
		this.response.startAttempt();
		OnlineAttempt attempt = new OnlineAttempt(this, choice.get(), sidecar.get());
		this.current = Optional.of(attempt);
		attempt.start(run(quarantineState == QuarantineState.SUSPECT));
	}

	private Run run(boolean alone) {
		return this.request.run()
			.toBuilder()
			.setAttempt(this.attempts)
			.setAlone(alone)
			.setDeadlineMillis(this.deadline.remainingMillis())
			.setResumeText(this.response.text())
			.setResumeTokens(this.response.tokens())
			.build();
	}

	/**
	 * Runs a task on this request's context if the attempt is still the current one. Late
	 * frames of an abandoned attempt would otherwise mix with those of the next attempt.
	 * @param attempt the attempt that the task belongs to
	 * @param task the task to run
	 */
	void runIfCurrent(OnlineAttempt attempt, Runnable task) {
		onContext(() -> {
			if (this.current.filter((running) -> running == attempt).isPresent()) {
				task.run();
			}
		});
	}

	CallerResponse response() {
		return this.response;
	}

	String model() {
		return this.request.model();
	}

	String fingerprint() {
		return this.request.run().getFingerprint();
	}

	OnlineResources resources() {
		return this.resources;
	}

	/**
	 * Called when the first bytes have been sent to the caller. Records the time to first
	 * token.
	 */
	void firstOutputSent() {
		record(this.resources.metrics().firstToken(this.request.account().name(), "online"));
	}

	private void record(Timer timer) {
		timer.record(this.resources.ticker().nanos() - this.startNanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Called when the current attempt has ended. Delivers the response, schedules another
	 * attempt, or fails the request, as the retry policy decides.
	 * @param upstream the upstream that the attempt was sent to
	 * @param outcome how the attempt ended
	 * @param detail the cause, for the error response
	 */
	void attemptEnded(Upstream upstream, AttemptOutcome outcome, String detail) {
		this.current = Optional.empty();
		this.service.queue().requestEnded(upstream);
		this.state = this.state.after(outcome, this.response.sent());
		RetryDecision decision = this.service.policy().decide(this.state, outcome, this.deadline);
		if (decision instanceof RetryDecision.Deliver) {
			record(this.resources.metrics().request(this.request.account().name(), "online"));
			finish(ANSWERED, this.response::end);
		}
		else if (decision instanceof RetryDecision.Retry retry) {
			scheduleAttempt(retry.delay());
		}
		else if (decision instanceof RetryDecision.Resume resume) {
			scheduleAttempt(resume.delay());
		}
		else if (decision instanceof RetryDecision.GiveUp giveUp) {
			fail(giveUp.code(), detail);
		}
	}

	private void scheduleAttempt(Duration delay) {
		this.context.owner().setTimer(Math.max(1, delay.toMillis()), (ignored) -> onContext(() -> attempt(choose())));
	}

	// -- the end

	private void deadlinePassed() {
		if (this.ended) {
			return;
		}
		fail(this.service.policy().deadlineExceeded(stateIfCancelled()).code(),
				"the deadline passed after " + this.request.timeout().toMillis() + " ms");
	}

	/**
	 * Returns the state if no more is heard of the current attempt. Its outcome is
	 * unknown, so it counts as passed on.
	 * @return the state
	 */
	private RequestState stateIfCancelled() {
		return this.current.isPresent() ? this.state.after(AttemptOutcome.CANCELLED, this.response.sent()) : this.state;
	}

	/**
	 * Ends the request because the process stops. May be called on any thread.
	 */
	void stop() {
		onContext(() -> fail(this.service.policy().stopped(stateIfCancelled()).code(), STOPPING));
	}

	/**
	 * Called when the caller has closed its connection. Without this, the request would
	 * occupy its slot until the upstream has generated the whole answer.
	 */
	private void callerDisconnected() {
		if (!this.ended) {
			finish(DISCONNECTED, () -> {
			});
		}
	}

	/**
	 * Called when the caller has left too much of the response unread. Breaks the
	 * response off.
	 */
	void callerNotReading() {
		finish("caller not reading", this.response::breakOff);
	}

	private void fail(ErrorCode code, String detail) {
		Duration retryAfter = (code == ErrorCode.REQUEST_QUARANTINED)
				? this.resources.quarantine().remaining(fingerprint()).orElse(DEFAULT_RETRY_AFTER)
				: DEFAULT_RETRY_AFTER;
		finish(code.text() + ": " + detail,
				() -> this.resources.errors().write(this.routing, new RequestException(code, detail), retryAfter));
	}

	private void finish(String cause, Runnable completion) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		Object[] pairs = { "request", this.request.run().getRequest(), "cause", cause, "sent", this.response.sent(),
				"upstream_status", this.response.attemptStatus(), "attempts", this.attempts, "tokens",
				this.response.tokens() };
		if (this.response.sent() && !EXPECTED_ENDS.contains(cause)) {
			LOG.warning("response_broken_off", pairs);
		}
		else {
			LOG.debug("request_ended", pairs);
		}
		this.context.owner().cancelTimer(this.deadlineTimer);
		this.service.queue().withdraw(this);
		this.current.ifPresent(OnlineAttempt::abandon);
		this.accountGate.release(this.response.tokens());
		completion.run();
		this.resources.requestEnded(this);
	}

	private record Refusal(RequestException error, Duration retryAfter) {

		private Refusal(ErrorCode code, String detail, Duration retryAfter) {
			this(new RequestException(code, detail), retryAfter);
		}

	}

}
