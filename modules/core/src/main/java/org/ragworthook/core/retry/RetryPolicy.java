package org.ragworthook.core.retry;

import java.util.Objects;

import org.ragworthook.core.error.ErrorCode;

/**
 * Decides what follows an attempt. A request is said not to have been run only if no
 * upstream can have got it; a request that may run only once is tried again only then.
 */
public final class RetryPolicy {

	private final RetryBudget budget;

	private final Backoff backoff;

	private final int mostAttempts;

	private RetryPolicy(RetryBudget budget, Backoff backoff, int mostAttempts) {
		this.budget = Objects.requireNonNull(budget, "budget is null");
		this.backoff = Objects.requireNonNull(backoff, "backoff is null");
		this.mostAttempts = mostAttempts;
	}

	/**
	 * Returns a policy.
	 * @param budget the budget of the service
	 * @param backoff how long to wait between attempts
	 * @param mostAttempts how many attempts a request gets at most
	 * @return the policy
	 */
	public static RetryPolicy of(RetryBudget budget, Backoff backoff, int mostAttempts) {
		return new RetryPolicy(budget, backoff, mostAttempts);
	}

	/**
	 * Learns that a request starts.
	 * @param idempotent whether running it more than once does no harm
	 * @param resumable whether an upstream can go on after what has been passed on
	 * @return the state of the request
	 */
	public RequestState begin(boolean idempotent, boolean resumable) {
		this.budget.deposit();
		return RequestState.of(idempotent, resumable);
	}

	/**
	 * Decides what follows an attempt.
	 * @param state the request, after the attempt
	 * @param outcome how the attempt ended
	 * @param deadline the request's deadline
	 * @return what to do now
	 */
	public RetryDecision decide(RequestState state, AttemptOutcome outcome, Deadline deadline) {
		Objects.requireNonNull(state, "state is null");
		Objects.requireNonNull(outcome, "outcome is null");
		if (outcome == AttemptOutcome.ANSWERED) {
			return new RetryDecision.Deliver();
		}
		if (outcome == AttemptOutcome.CANCELLED) {
			return new RetryDecision.GiveUp(giveUp(state, ErrorCode.REQUEST_NOT_RUN_NO_UPSTREAM));
		}
		if (deadline.passed()) {
			return new RetryDecision.GiveUp(deadlinePassed(state));
		}
		if (!mayTryAgain(state) || state.attempts() >= this.mostAttempts || !affordable(state, outcome)) {
			return exhausted(state, outcome);
		}
		if (state.outputSent()) {
			return new RetryDecision.Resume(this.backoff.delay(state.attempts() - 1));
		}
		return new RetryDecision.Retry(this.backoff.delay(state.attempts() - 1));
	}

	/**
	 * Decides what a request gets for which there is no upstream to try.
	 * @param state the request
	 * @return what the caller is told
	 */
	public RetryDecision.GiveUp noUpstream(RequestState state) {
		return new RetryDecision.GiveUp(giveUp(state, ErrorCode.REQUEST_NOT_RUN_NO_UPSTREAM));
	}

	/**
	 * Decides what a request gets whose deadline passes.
	 * @param state the request
	 * @return what the caller is told
	 */
	public RetryDecision.GiveUp deadlineExceeded(RequestState state) {
		return new RetryDecision.GiveUp(deadlinePassed(state));
	}

	private static boolean mayTryAgain(RequestState state) {
		if (state.outputSent()) {
			return state.idempotent() && state.resumable();
		}
		return state.idempotent() || !state.passedOn();
	}

	// A request that a leaving sidecar hands back is tried again without the budget: a
	// stop hands back all that waits at once, and each sidecar leaves only once.
	// A request whose link was lost is tried again once without the budget. A failure
	// domain that is lost breaks more requests at once than the budget holds; and a lost
	// link breaks each request once only, since nothing is sent to it until it is back,
	// so this cannot multiply the load in an outage.
	private boolean affordable(RequestState state, AttemptOutcome outcome) {
		boolean free = outcome == AttemptOutcome.LINK_LOST && state.lostLinks() == 1;
		return free || outcome == AttemptOutcome.RETURNED || this.budget.tryWithdraw();
	}

	private static RetryDecision exhausted(RequestState state, AttemptOutcome outcome) {
		if (outcome == AttemptOutcome.REJECTED && !state.outputSent()) {
			return new RetryDecision.Deliver();
		}
		return new RetryDecision.GiveUp(giveUp(state, (outcome == AttemptOutcome.REFUSED)
				? ErrorCode.REQUEST_NOT_RUN_OVERLOADED : ErrorCode.REQUEST_NOT_RUN_NO_UPSTREAM));
	}

	private static ErrorCode giveUp(RequestState state, ErrorCode notRun) {
		if (!state.passedOn()) {
			return notRun;
		}
		return (state.idempotent()) ? ErrorCode.REQUEST_FAILED : ErrorCode.REQUEST_OUTCOME_UNKNOWN;
	}

	private static ErrorCode deadlinePassed(RequestState state) {
		if (!state.passedOn()) {
			return ErrorCode.REQUEST_NOT_RUN_DEADLINE;
		}
		return (state.idempotent()) ? ErrorCode.REQUEST_DEADLINE_PASSED : ErrorCode.REQUEST_OUTCOME_UNKNOWN;
	}

}
