package org.ragworthook.core.retry;

import java.util.Objects;

import org.ragworthook.core.error.ErrorCode;

/**
 * Decides what to do after an attempt. Reports a request as not run only if no upstream
 * can have received it; a request that is not idempotent is retried only in that case.
 */
public final class RetryPolicy {

	private final RetryBudget budget;

	private final Backoff backoff;

	private final int maxAttempts;

	private RetryPolicy(RetryBudget budget, Backoff backoff, int maxAttempts) {
		this.budget = Objects.requireNonNull(budget, "budget is null");
		this.backoff = Objects.requireNonNull(backoff, "backoff is null");
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Returns a policy.
	 * @param budget the retry budget of the service
	 * @param backoff the delays between attempts
	 * @param maxAttempts the maximum number of attempts at a request
	 * @return the policy
	 */
	public static RetryPolicy of(RetryBudget budget, Backoff backoff, int maxAttempts) {
		return new RetryPolicy(budget, backoff, maxAttempts);
	}

	/**
	 * Called when a request starts.
	 * @param idempotent whether the request may be run more than once
	 * @param resumable whether another upstream can continue a partial output
	 * @return the initial state of the request
	 */
	public RequestState begin(boolean idempotent, boolean resumable) {
		this.budget.deposit();
		return RequestState.of(idempotent, resumable);
	}

	/**
	 * Decides what to do after an attempt.
	 * @param state the state of the request after the attempt
	 * @param outcome how the attempt ended
	 * @param deadline the deadline of the request
	 * @return the decision
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
		if (!mayRetry(state) || state.attempts() >= this.maxAttempts || !withinBudget(state, outcome)) {
			return afterLastAttempt(state, outcome);
		}
		if (state.outputSent()) {
			return new RetryDecision.Resume(this.backoff.delay(state.attempts() - 1));
		}
		return new RetryDecision.Retry(this.backoff.delay(state.attempts() - 1));
	}

	/**
	 * Returns the error for a request without an upstream to try.
	 * @param state the state of the request
	 * @return the decision to give up, with the error code
	 */
	public RetryDecision.GiveUp noUpstream(RequestState state) {
		return new RetryDecision.GiveUp(giveUp(state, ErrorCode.REQUEST_NOT_RUN_NO_UPSTREAM));
	}

	/**
	 * Returns the error for a request whose deadline has passed.
	 * @param state the state of the request
	 * @return the decision to give up, with the error code
	 */
	public RetryDecision.GiveUp deadlineExceeded(RequestState state) {
		return new RetryDecision.GiveUp(deadlinePassed(state));
	}

	/**
	 * Returns the error for a request that is open when the process stops.
	 * @param state the state of the request
	 * @return the decision to give up, with the error code
	 */
	public RetryDecision.GiveUp stopped(RequestState state) {
		return new RetryDecision.GiveUp(giveUp(state, ErrorCode.REQUEST_NOT_RUN_STOPPING));
	}

	private static boolean mayRetry(RequestState state) {
		if (state.outputSent()) {
			return state.idempotent() && state.resumable();
		}
		return state.idempotent() || !state.passedOn();
	}

	// Two retries do not draw on the budget. A draining sidecar returns all its waiting
	// requests at once, and each sidecar drains only once. A lost failure domain breaks
	// more requests at once than the budget holds; the first retry after a lost link is
	// free, since nothing is sent over that link until it is back, so this cannot
	// multiply the load in an outage.
	private boolean withinBudget(RequestState state, AttemptOutcome outcome) {
		boolean free = outcome == AttemptOutcome.LINK_LOST && state.lostLinks() == 1;
		return free || outcome == AttemptOutcome.RETURNED || this.budget.tryWithdraw();
	}

	private static RetryDecision afterLastAttempt(RequestState state, AttemptOutcome outcome) {
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
