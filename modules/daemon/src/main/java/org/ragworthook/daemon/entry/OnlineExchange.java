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
 * One online request from its acceptance to its answer, over all attempts. Its state is
 * confined to the context of the caller's connection; what comes from links is handed
 * over to it.
 */
final class OnlineExchange {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final OnlinePath path;

	private final ServicePath service;

	private final OnlineRequest request;

	private final RoutingContext routing;

	private final Context context;

	private final AccountGate account;

	private final CallerAnswer answer;

	private final Deadline deadline;

	private final long startNanos;

	private final Set<Upstream> tried = new HashSet<>();

	private RequestState state;

	private Optional<OnlineAttempt> current = Optional.empty();

	private int attempts;

	private long timer;

	private boolean ended;

	OnlineExchange(OnlinePath path, OnlineRequest request, RoutingContext routing, Context context) {
		this.path = Objects.requireNonNull(path, "path is null");
		this.request = Objects.requireNonNull(request, "request is null");
		this.routing = Objects.requireNonNull(routing, "routing is null");
		this.context = Objects.requireNonNull(context, "context is null");
		this.service = path.service(request.service().name());
		this.account = path.account(request.account());
		this.answer = new CallerAnswer(routing.response(), request.run().getStream(), request.resumable());
		this.startNanos = path.ticker().nanos();
		this.deadline = Deadline.after(path.ticker(), request.timeout());
	}

	// -- admission

	void start() {
		Optional<Refusal> refusal = refusal();
		if (refusal.isPresent()) {
			this.path.errors().write(this.routing, refusal.get().error(), refusal.get().retryAfter());
			return;
		}
		this.path.begun();
		this.timer = this.context.owner()
			.setTimer(Math.max(1, this.request.timeout().toMillis()), (ignored) -> deadlinePassed());
		this.routing.response().closeHandler((ignored) -> callerGone());
		this.state = this.service.policy().begin(this.request.run().getRepeatable(), this.request.resumable());
		if (this.request.needsClaim()) {
			this.path.claims().claim(this.request).whenComplete((done, failure) -> onContext(() -> claimed(failure)));
		}
		else {
			enter();
		}
	}

	private Optional<Refusal> refusal() {
		Optional<Duration> quarantined = this.path.quarantine().remaining(this.request.run().getFingerprint());
		if (quarantined.isPresent()) {
			return Optional.of(new Refusal(ErrorCode.REQUEST_QUARANTINED,
					"the same request crashed the upstreams that ran it", quarantined.get()));
		}
		Optional<String> down = this.path.downDependency(this.request.service());
		if (down.isPresent()) {
			return Optional
				.of(new Refusal(ErrorCode.REQUEST_NOT_RUN_DEPENDENCY, "service '" + this.request.service().name()
						+ "' depends on '" + down.get() + "', which has no upstream", RETRY_AFTER));
		}
		return this.account.admit()
			.map((over) -> new Refusal(ErrorCode.REQUEST_OVER_LIMIT,
					"account '" + this.request.account().name() + "' is over its " + over.limit(), over.retryAfter()));
	}

	private void claimed(Throwable failure) {
		if (failure != null) {
			finish(() -> this.path.errors().write(this.routing, failure, RETRY_AFTER));
		}
		else {
			enter();
		}
	}

	private void enter() {
		if (this.service.queue().busy()) {
			await();
			return;
		}
		Optional<Choice> choice = choose();
		if (choice.isPresent() && choice.get().upstream().full()) {
			choice.get().release(Choice.Outcome.UNKNOWN);
			await();
		}
		else {
			attempt(choice);
		}
	}

	private void await() {
		QueuedRequest<OnlineExchange> ticket = new QueuedRequest<>(this.request.account().name(),
				this.request.account().weight(), this.deadline.atNanos().orElse(Offer.NO_DEADLINE), this);
		EnqueueResult<OnlineExchange> placing = this.service.queue().offer(ticket);
		if (placing instanceof EnqueueResult.Refused<OnlineExchange> refused) {
			overloaded(refused.retryAfter());
		}
		else if (placing instanceof EnqueueResult.Queued<OnlineExchange> queued) {
			queued.shed()
				.map(QueuedRequest::item)
				.ifPresent((shed) -> shed.onContext(() -> shed.overloaded(queued.retryAfter())));
		}
	}

	private void overloaded(Duration retryAfter) {
		finish(() -> this.path.errors()
			.write(this.routing, new RequestException(ErrorCode.REQUEST_NOT_RUN_OVERLOADED,
					"every upstream of '" + this.request.service().name() + "' is at its limit"), retryAfter));
	}

	/**
	 * It is this request's turn; it has left the queue. Called by any thread.
	 */
	void turn() {
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
		RouteRequest wanted = RouteRequest.of(this.request.model(), this.request.prefix());
		Optional<Choice> fresh = this.service.router().choose(wanted.without(this.tried));
		if (fresh.isPresent() || this.tried.isEmpty()) {
			return fresh;
		}
		this.tried.clear();
		return this.service.router().choose(wanted);
	}

	private void attempt(Optional<Choice> choice) {
		if (this.deadline.passed()) {
			deadlinePassed();
			return;
		}
		QuarantineState standing = this.path.quarantine().state(this.request.run().getFingerprint());
		Optional<Sidecar> sidecar = choice.flatMap((chosen) -> this.path.sidecar(chosen.upstream()));
		if (standing == QuarantineState.QUARANTINED || sidecar.isEmpty()) {
			choice.ifPresent((chosen) -> chosen.release(Choice.Outcome.UNKNOWN));
			fail((standing == QuarantineState.QUARANTINED) ? ErrorCode.REQUEST_QUARANTINED
					: this.service.policy().noUpstream(this.state).code(),
					"no upstream of '" + this.request.service().name() + "' takes the request");
			return;
		}
		this.attempts++;
		this.tried.add(choice.get().upstream());
		this.answer.nextAttempt();
		OnlineAttempt attempt = new OnlineAttempt(this, choice.get(), sidecar.get());
		this.current = Optional.of(attempt);
		attempt.start(run(standing == QuarantineState.SUSPECT));
	}

	private Run run(boolean alone) {
		return this.request.run()
			.toBuilder()
			.setAttempt(this.attempts)
			.setAlone(alone)
			.setDeadlineMillis(this.deadline.remainingMillis())
			.setResumeText(this.answer.text())
			.setResumeTokens(this.answer.tokens())
			.build();
	}

	/**
	 * Runs a task of an attempt, unless the attempt has been abandoned: its late frames
	 * would mix with those of the next one.
	 * @param attempt the attempt
	 * @param task what to do on this request's context
	 */
	void inAttempt(OnlineAttempt attempt, Runnable task) {
		onContext(() -> {
			if (this.current.filter((running) -> running == attempt).isPresent()) {
				task.run();
			}
		});
	}

	CallerAnswer answer() {
		return this.answer;
	}

	String model() {
		return this.request.model();
	}

	String fingerprint() {
		return this.request.run().getFingerprint();
	}

	OnlinePath path() {
		return this.path;
	}

	/**
	 * The caller has got its first bytes.
	 */
	void firstOutput() {
		record(this.path.metrics().firstToken(this.request.account().name(), "online"));
	}

	private void record(Timer histogram) {
		histogram.record(this.path.ticker().nanos() - this.startNanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * The current attempt has ended.
	 * @param upstream where it ran
	 * @param outcome how it ended
	 * @param detail what happened
	 */
	void attemptEnded(Upstream upstream, AttemptOutcome outcome, String detail) {
		this.current = Optional.empty();
		this.service.queue().released(upstream);
		this.state = this.state.after(outcome, this.answer.sent());
		RetryDecision decision = this.service.policy().decide(this.state, outcome, this.deadline);
		if (decision instanceof RetryDecision.Deliver) {
			record(this.path.metrics().request(this.request.account().name(), "online"));
			finish(this.answer::end);
		}
		else if (decision instanceof RetryDecision.Retry retry) {
			again(retry.delay());
		}
		else if (decision instanceof RetryDecision.Resume resume) {
			again(resume.delay());
		}
		else if (decision instanceof RetryDecision.GiveUp giveUp) {
			fail(giveUp.code(), detail);
		}
	}

	private void again(Duration delay) {
		this.context.owner().setTimer(Math.max(1, delay.toMillis()), (ignored) -> onContext(() -> attempt(choose())));
	}

	// -- the end

	private void deadlinePassed() {
		if (this.ended) {
			return;
		}
		// What a running attempt has done is not known yet, so it counts as passed on.
		RequestState known = this.current.isPresent() ? this.state.after(AttemptOutcome.CANCELLED, this.answer.sent())
				: this.state;
		fail(this.service.policy().deadlineExceeded(known).code(),
				"the deadline passed after " + this.request.timeout().toMillis() + " ms");
	}

	/**
	 * A caller that has gone away would hold its slot until the answer is whole.
	 */
	private void callerGone() {
		if (!this.ended) {
			finish(() -> {
			});
		}
	}

	/**
	 * The caller does not read; its connection is of no use any more.
	 */
	void callerStuck() {
		finish(() -> this.routing.request().connection().close());
	}

	private void fail(ErrorCode code, String detail) {
		Duration wait = (code == ErrorCode.REQUEST_QUARANTINED)
				? this.path.quarantine().remaining(fingerprint()).orElse(RETRY_AFTER) : RETRY_AFTER;
		finish(() -> this.path.errors().write(this.routing, new RequestException(code, detail), wait));
	}

	private void finish(Runnable last) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.context.owner().cancelTimer(this.timer);
		this.service.queue().withdraw(this);
		this.current.ifPresent(OnlineAttempt::abandon);
		this.account.release(this.answer.tokens());
		last.run();
		this.path.ended();
	}

	private record Refusal(RequestException error, Duration retryAfter) {

		private Refusal(ErrorCode code, String detail, Duration retryAfter) {
			this(new RequestException(code, detail), retryAfter);
		}

	}

}
