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
 * One attempt at an online request. Calls come on the link's thread and are handed over
 * to the request's context.
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
			this.exchange.inAttempt(this,
					() -> end(AttemptOutcome.RETURNED, Choice.Outcome.UNKNOWN, "the link was closed"));
		}
	}

	/**
	 * Gives the attempt up and frees its slot at the upstream.
	 */
	void abandon() {
		this.choice.release(Choice.Outcome.UNKNOWN);
		this.sidecar.cancel(Lane.LANE_ONLINE, this.run.getRequest());
	}

	@Override
	public void output(Output output) {
		this.exchange.inAttempt(this, () -> {
			boolean first = !this.exchange.answer().sent();
			if (!this.exchange.answer().take(output)) {
				this.sidecar.cancel(Lane.LANE_ONLINE, this.run.getRequest());
				end(AttemptOutcome.INCOMPLETE, Choice.Outcome.FAILURE, "a piece of the answer was lost");
			}
			else if (this.exchange.answer().stuck()) {
				this.exchange.callerStuck();
			}
			else if (first && this.exchange.answer().sent()) {
				this.exchange.firstOutput();
			}
		});
	}

	@Override
	public void done(Done done) {
		// Read before the hand-over: the sidecar's next run may greet in between.
		boolean leaving = this.sidecar.leaving();
		this.exchange.inAttempt(this, () -> ended(done, leaving));
	}

	private void ended(Done done, boolean leaving) {
		switch (done.getOutcome()) {
			case OUTCOME_ANSWERED -> answered();
			case OUTCOME_NOT_PASSED_ON, OUTCOME_FENCED -> notPassedOn(done, leaving);
			case OUTCOME_CRASHED -> {
				this.exchange.path().crashed(this.exchange.fingerprint(), done.getInFlight());
				end(AttemptOutcome.CRASHED, Choice.Outcome.FAILURE, done.getDetail());
			}
			default -> end(AttemptOutcome.INCOMPLETE, Choice.Outcome.FAILURE, done.getDetail());
		}
	}

	private void answered() {
		this.exchange.path().quarantine().recordAnswer(this.exchange.fingerprint());
		if (!this.exchange.model().isEmpty() && this.exchange.answer().notFound()) {
			lacksModel();
		}
		else if (this.exchange.answer().rejected()) {
			end(AttemptOutcome.REJECTED,
					this.exchange.answer().overloaded() ? Choice.Outcome.UNKNOWN : Choice.Outcome.FAILURE,
					"the upstream refused the request");
		}
		else {
			end(AttemptOutcome.ANSWERED, Choice.Outcome.SUCCESS, "answered");
		}
	}

	// The contract has the model, so an engine that does not know it has not loaded it
	// yet
	// or not any more; others have. It ran nothing.
	private void lacksModel() {
		this.choice.upstream()
			.modelMissing(this.exchange.model(),
					this.exchange.path().ticker().nanos() + Upstream.MODEL_MISSING_TTL.toNanos());
		end(AttemptOutcome.NOT_PASSED_ON, Choice.Outcome.UNKNOWN, "the upstream does not hold the model");
	}

	// A sidecar that refuses for its own reasons, such as a full queue, says when to come
	// back; one whose upstream is gone does not.
	private void notPassedOn(Done done, boolean leaving) {
		if (leaving) {
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
		this.exchange.inAttempt(this,
				() -> end(AttemptOutcome.LINK_LOST, Choice.Outcome.FAILURE, "the link to the sidecar was lost"));
	}

	private void end(AttemptOutcome outcome, Choice.Outcome fared, String detail) {
		this.choice.release(fared);
		this.exchange.attemptEnded(this.choice.upstream(), outcome, detail);
	}

}
