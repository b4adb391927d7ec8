package org.ragworthook.core.retry;

/**
 * How one attempt at a request ended, as known to the entry.
 */
public enum AttemptOutcome {

	/** The upstream answered, with any status. */
	ANSWERED(true),

	/** The upstream rejected the request as overloaded or unavailable. */
	REJECTED(true),

	/**
	 * The sidecar confirmed that no part of the request was passed on to the upstream.
	 */
	NOT_PASSED_ON(false),

	/** The sidecar's queue is full; no part of the request was passed on. */
	REFUSED(false),

	/**
	 * The sidecar is draining or disconnected before the request was sent; no part of it
	 * was passed on.
	 */
	RETURNED(false),

	/**
	 * Passed on; the connection to the upstream failed before the answer was complete.
	 */
	INCOMPLETE(true),

	/** Passed on; the upstream crashed while the request was in flight. */
	CRASHED(true),

	/**
	 * The link to the sidecar was lost after the request was sent; whether it was passed
	 * on is unknown.
	 */
	LINK_LOST(true),

	/** Cancelled because the caller gave up or the deadline passed. */
	CANCELLED(true);

	private final boolean passedOn;

	AttemptOutcome(boolean passedOn) {
		this.passedOn = passedOn;
	}

	/**
	 * Returns whether the upstream may have received the request.
	 * @return false only if it certainly has not
	 */
	public boolean passedOn() {
		return this.passedOn;
	}

}
