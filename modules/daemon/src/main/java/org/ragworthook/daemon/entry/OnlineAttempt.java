package org.ragworthook.daemon.entry;

import java.util.Objects;

import org.ragworthook.core.retry.AttemptOutcome;
import org.ragworthook.core.routing.Choice;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Output;
import org.ragworthook.wire.message.Run;

/**
 * One attempt at an online request. Hands the calls of the link's thread over to the
 * request's context.
 */
final class OnlineAttempt implements AttemptListener {

	private final OnlineExchange exchange;

	private final Choice choice;

	private final Sidecar sidecar;

	private Run run;

	OnlineAttempt(OnlineExchange exchange, Choice choice, Sidecar sidecar) {
		this.exchange = Objects.requireNonNull(exchange, "exchange is null");
		this.choice = Objects.requireNonNull(choice, "choice is null");
		this.sidecar = Objects.requireNonNull(sidecar, "sidecar is null");
	}

	void start(Run newRun) {
		this.run = newRun;
		if (!this.sidecar.start(Lane.LANE_ONLINE, newRun, this)) {
			this.exchange.runIfCurrent(this,
					() -> end(AttemptOutcome.RETURNED, Choice.Outcome.UNKNOWN, "the link was closed"));
		}
	}

	/**
	 * Cancels the attempt at the sidecar and releases its slot at the upstream.
	 */
	void abandon() {
		this.choice.release(Choice.Outcome.UNKNOWN);
		this.sidecar.cancel(Lane.LANE_ONLINE, this.run.getRequest());
	}

	@Override
	public void output(Output output) {
		this.exchange.runIfCurrent(this, () -> {
			boolean firstOutput = !this.exchange.response().sent();
			if (!this.exchange.response().append(output)) {
				this.sidecar.cancel(Lane.LANE_ONLINE, this.run.getRequest());
				end(AttemptOutcome.INCOMPLETE, Choice.Outcome.FAILURE, "a piece of the answer was lost");
			}
			else if (this.exchange.response().unreadLimitExceeded()) {
				this.exchange.callerNotReading();
			}
			else if (firstOutput && this.exchange.response().sent()) {
				this.exchange.firstOutputSent();
			}
		});
	}

	@Override
	public void done(Done done) {
		// Read on the link's thread: by the time the task runs, a restarted sidecar may
		// have connected and reset the flag.
		boolean draining = this.sidecar.draining();
		this.exchange.runIfCurrent(this, () -> handleDone(done, draining));
	}

	private void handleDone(Done done, boolean draining) {
		switch (done.getOutcome()) {
			case OUTCOME_ANSWERED -> handleAnswered();
			case OUTCOME_NOT_PASSED_ON, OUTCOME_FENCED -> handleNotPassedOn(done, draining);
			case OUTCOME_CRASHED -> {
				this.exchange.resources().recordCrash(this.exchange.fingerprint(), done.getInFlight());
				end(AttemptOutcome.CRASHED, Choice.Outcome.FAILURE, done.getDetail());
			}
			default -> end(AttemptOutcome.INCOMPLETE, Choice.Outcome.FAILURE, done.getDetail());
		}
	}

	/**
	 * Decides whether the response is complete. The upstream has given a whole answer,
	 * which may be an error in answer to a continuation.
	 */
	private void handleAnswered() {
		CallerResponse response = this.exchange.response();
		this.exchange.resources().quarantine().recordAnswer(this.exchange.fingerprint());
		if (!this.exchange.model().isEmpty() && response.notFound()) {
			handleModelMissing();
		}
		else if (response.rejected()) {
			end(AttemptOutcome.REJECTED, response.overloaded() ? Choice.Outcome.UNKNOWN : Choice.Outcome.FAILURE,
					"the upstream refused the request with status " + response.attemptStatus());
		}
		else if (!response.continuesResponse()) {
			end(AttemptOutcome.INCOMPLETE, Choice.Outcome.FAILURE,
					(response.attemptStatus() != 0)
							? "the upstream answered the continuation with status " + response.attemptStatus()
							: "the answer has no head");
		}
		else {
			end(AttemptOutcome.ANSWERED, Choice.Outcome.SUCCESS, "answered");
		}
	}

	// The contract lists the model, so an upstream that does not know the model has not
	// loaded it yet or has unloaded it. It ran nothing; other upstreams may have the
	// model.
	private void handleModelMissing() {
		this.choice.upstream()
			.modelMissing(this.exchange.model(),
					this.exchange.resources().ticker().nanos() + Upstream.MODEL_MISSING_TTL.toNanos());
		end(AttemptOutcome.NOT_PASSED_ON, Choice.Outcome.UNKNOWN, "the upstream does not hold the model");
	}

	// A sidecar that refuses for a reason of its own, such as a full queue, sets a retry
	// delay. A sidecar whose upstream is down does not.
	private void handleNotPassedOn(Done done, boolean draining) {
		if (draining) {
			end(AttemptOutcome.RETURNED, Choice.Outcome.UNKNOWN, done.getDetail());
		}
		else if (done.getRetryAfterMillis() > 0) {
			end(AttemptOutcome.REFUSED, Choice.Outcome.UNKNOWN, done.getDetail());
		}
		else {
			end(AttemptOutcome.NOT_PASSED_ON, Choice.Outcome.FAILURE, done.getDetail());
		}
	}

	@Override
	public void lost() {
		this.exchange.runIfCurrent(this,
				() -> end(AttemptOutcome.LINK_LOST, Choice.Outcome.FAILURE, "the link to the sidecar was lost"));
	}

	private void end(AttemptOutcome outcome, Choice.Outcome routingOutcome, String detail) {
		this.choice.release(routingOutcome);
		this.exchange.attemptEnded(this.choice.upstream(), outcome, detail);
	}

}
