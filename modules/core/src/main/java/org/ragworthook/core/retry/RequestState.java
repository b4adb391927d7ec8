package org.ragworthook.core.retry;

import java.util.Objects;

/**
 * The progress of a request over its attempts. Immutable.
 *
 * @param idempotent whether the request may be run more than once
 * @param resumable whether another upstream can continue a partial output
 * @param attempts the number of attempts that have ended
 * @param lostLinks the number of attempts that ended because their link was lost
 * @param passedOn whether any upstream may have received the request
 * @param outputSent whether any output has been sent to the caller
 */
public record RequestState(boolean idempotent, boolean resumable, int attempts, int lostLinks, boolean passedOn,
		boolean outputSent) {

	/**
	 * Returns the state of a request before its first attempt.
	 * @param idempotent whether the request may be run more than once
	 * @param resumable whether another upstream can continue a partial output
	 * @return the state
	 */
	public static RequestState of(boolean idempotent, boolean resumable) {
		return new RequestState(idempotent, resumable, 0, 0, false, false);
	}

	/**
	 * Returns the state after an attempt.
	 * @param outcome how the attempt ended
	 * @param sent whether any of its output has been sent to the caller
	 * @return the new state
	 */
	public RequestState after(AttemptOutcome outcome, boolean sent) {
		Objects.requireNonNull(outcome, "outcome is null");
		int lost = this.lostLinks + ((outcome == AttemptOutcome.LINK_LOST) ? 1 : 0);
		return new RequestState(this.idempotent, this.resumable, this.attempts + 1, lost,
				this.passedOn || outcome.passedOn(), this.outputSent || sent);
	}

}
