package org.ragworthook.core.retry;

import java.util.Objects;

/**
 * What has become of a request so far. Immutable.
 *
 * @param idempotent whether running it more than once does no harm
 * @param resumable whether an upstream can go on after what has been passed on
 * @param attempts how many attempts have ended
 * @param lostLinks how many of them ended with their link
 * @param passedOn whether any upstream may have got it
 * @param outputSent whether any output has reached the caller
 */
public record RequestState(boolean idempotent, boolean resumable, int attempts, int lostLinks, boolean passedOn,
		boolean outputSent) {

	/**
	 * Returns the state of a request before its first attempt.
	 * @param idempotent whether running it more than once does no harm
	 * @param resumable whether an upstream can go on after what has been passed on
	 * @return the state
	 */
	public static RequestState of(boolean idempotent, boolean resumable) {
		return new RequestState(idempotent, resumable, 0, 0, false, false);
	}

	/**
	 * Returns the state after an attempt.
	 * @param outcome how it ended
	 * @param sent whether any output of it has reached the caller
	 * @return the state
	 */
	public RequestState after(AttemptOutcome outcome, boolean sent) {
		Objects.requireNonNull(outcome, "outcome is null");
		int lost = this.lostLinks + ((outcome == AttemptOutcome.LINK_LOST) ? 1 : 0);
		return new RequestState(this.idempotent, this.resumable, this.attempts + 1, lost,
				this.passedOn || outcome.passedOn(), this.outputSent || sent);
	}

}
